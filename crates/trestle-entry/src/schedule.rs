//! Decisions of leaders on which engine reads a prompt: how a daemon requests one, and how it decides
//! while it leads.

use crate::{
    allocation,
    control::message::Leader,
    daemon::Daemon,
    peer::calls,
    send_permits,
    traffic::{quota_reservation, task::Task},
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};
use trestle_core::names::{
    AdapterName, DomainName, EndpointName, ModelName, ServiceName, TeamName,
};
use trestle_dispatch::{
    admission,
    choice::Candidate,
    endpoint::{Endpoint, Incarnation},
    fingerprint::Fingerprint,
    load::{
        call_budget::CallBudget,
        prompt_scheduler::{EngineBounds, ObservedStart, Prompt, Schedule},
        request_size::{PromptPart, RequestSize},
    },
    local_view::LocalView,
    policy::{Mechanism, Policy},
    quota_allocator::HeldLease,
    waiting::line::WaitingRequest,
};
use trestle_wire::{
    allocation::{WireAllocation, WireAllocationRequest},
    replicas::ReplicasClient,
    schedule::{WireEngine, WireSchedule, WireScheduleRequest, WireStart},
};

/// Time for which a leader that schedules no prompts is not asked again.
const PAUSE_MS: u64 = 500;
/// Time for which the leader of a group is taken for granted; the control thread is asked after it.
const LEADER_VALID_MS: u64 = 300;
/// The same time for a leader that another one named.
const NAMED_VALID_MS: u64 = 2_000;
/// Most first events that are kept until they can be reported, and that are reported at once.
const MAX_STARTS: usize = 32;
/// Time for which the first event of a request, or a failure, tells something of its engine.
const START_VALID_MS: u64 = 3_000;
/// Longest time that a leader may take to obtain units of a team's limit from other leaders. The daemon
/// waits 250 ms for the whole answer.
const UNITS_MS: u64 = 100;
/// Most engines and parts of a prompt that are taken from a request of another daemon.
const MAX_ENGINES: usize = 16;
const MAX_PARTS: usize = 64;
/// Most leaders of which the budget of calls is kept, some of them former ones.
const MAX_BUDGETS: usize = 64;
/// Most leaders that are asked in one round, since a model has replicas in several groups.
const MAX_ASKED: usize = 2;
/// Least time between two log lines about leaders that schedule no prompts.
const LOG_INTERVAL_MS: u64 = 5_000;

/// What this daemon knows about the leaders that schedule prompts.
#[derive(Debug, Default)]
pub(crate) struct SchedulingState {
    /// The leader of each group, and until when it is taken for granted.
    leaders: BTreeMap<DomainName, (Leader, u64)>,
    /// Until when leaders are not asked.
    paused_until_ms: BTreeMap<SocketAddr, u64>,
    /// What is left of this daemon's part of the calls that each leader answers.
    budgets: BTreeMap<SocketAddr, CallBudget>,
    /// First events that were not reported yet.
    starts: VecDeque<UnreportedStart>,
    logged_ms: u64,
}

/// The first event of a request, or the failure of its engine, that no leader has been told of.
#[derive(Debug)]
struct UnreportedStart {
    /// The group of the engine.
    group: DomainName,
    service: ServiceName,
    start: ObservedStart,
    recorded_ms: u64,
}

/// What happens to a prompt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The request is assigned to an engine, or the daemon chooses one by itself since no leader
    /// decides.
    Decided,
    /// The request waits and asks again.
    Later { in_ms: u64 },
    /// The request is refused.
    Refused { in_ms: u64 },
    /// The limit of the caller's team is used up.
    OverLimit { in_ms: u64 },
}

/// Requests a decision on a prompt that any of the candidates may read.
pub(crate) async fn request(task: &Task, candidates: &[Candidate]) -> Outcome {
    let daemon = &task.daemon;
    let mut later: Option<Outcome> = None;
    let mut is_undecided = false;
    let mut asked = 0;
    for (leader, engines) in by_leader(daemon, candidates).await {
        let asked_ms = daemon.shared_view.now_ms();
        if asked >= MAX_ASKED || !may_ask(task, &leader, asked_ms) {
            is_undecided = true;
            continue;
        }
        asked += 1;
        let (schedule, leader) = ask_with_redirect(task, leader, &engines).await;
        match schedule {
            WireSchedule::Assigned { engine, expected_ms, unread_tokens, has_units } => {
                let engine = Incarnation::from(engine);
                if !engines.iter().any(|candidate| candidate.incarnation == engine) {
                    is_undecided = true;
                    continue;
                }
                daemon.metrics.record_schedule("assigned");
                if has_units {
                    quota_reservation::allocated(task, asked_ms);
                }
                let now_ms = daemon.shared_view.now_ms();
                task.prompt_schedule.assign(engine, expected_ms, unread_tokens, now_ms);
                return Outcome::Decided;
            }
            WireSchedule::OverLimit { in_ms } => return Outcome::OverLimit { in_ms },
            WireSchedule::Later { in_ms } => later = Some(sooner(later, Outcome::Later { in_ms })),
            WireSchedule::Refused { in_ms } => {
                later = Some(sooner(later, Outcome::Refused { in_ms }));
            }
            WireSchedule::AskAt { .. } | WireSchedule::NotScheduling => {
                is_undecided = true;
                pause(daemon, &leader, &engines);
            }
        }
    }
    // Engines of which no leader decided may have room.
    let later = later.filter(|later| !is_undecided || matches!(later, Outcome::Later { .. }));
    match &later {
        Some(Outcome::Later { in_ms }) => {
            daemon.metrics.record_schedule("waited");
            tracing::debug!(id = task.head.id, in_ms, "schedule: A prompt waits.");
        }
        Some(Outcome::Refused { in_ms }) => {
            daemon.metrics.record_schedule("refused");
            let model = task.head.model.as_ref().map(ModelName::as_str);
            tracing::info!(id = task.head.id, model, in_ms, "schedule: A prompt is refused.");
        }
        Some(Outcome::Decided | Outcome::OverLimit { .. }) | None => {
            daemon.metrics.record_schedule("unscheduled");
            task.prompt_schedule.unscheduled(daemon.shared_view.now_ms());
        }
    }
    later.unwrap_or(Outcome::Decided)
}

/// Returns the outcome that lets the request be sent sooner.
fn sooner(known: Option<Outcome>, new: Outcome) -> Outcome {
    match (known, new) {
        (Some(Outcome::Later { in_ms: one }), Outcome::Later { in_ms: other }) => {
            Outcome::Later { in_ms: one.min(other) }
        }
        (Some(Outcome::Refused { in_ms: one }), Outcome::Refused { in_ms: other }) => {
            Outcome::Refused { in_ms: one.min(other) }
        }
        (Some(Outcome::Later { in_ms }), _) => Outcome::Later { in_ms },
        (_, new) => new,
    }
}

/// Groups candidates by the leader that orders them, in random order.
async fn by_leader(daemon: &Daemon, candidates: &[Candidate]) -> Vec<(Leader, Vec<Candidate>)> {
    let mut grouped: Vec<(Leader, Vec<Candidate>)> = Vec::new();
    let mut own_leader: Option<Leader> = None;
    for candidate in candidates {
        let leader = leader_of(daemon, &candidate.domain).await;
        // A daemon knows the leaders of few groups; its own leader names the others.
        let leader = match (leader, &own_leader) {
            (Leader::Nobody, Some(own)) => own.clone(),
            (Leader::Nobody, None) => own_leader.insert(calls::leader(daemon, 0).await).clone(),
            (known, _) => known,
        };
        if matches!(leader, Leader::Nobody) {
            continue;
        }
        let is_same = |known: &Leader| address(known) == address(&leader);
        match grouped.iter_mut().find(|(known, _)| is_same(known)) {
            Some((_, engines)) => engines.push(candidate.clone()),
            None => grouped.push((leader, vec![candidate.clone()])),
        }
    }
    // A group with more engines for the model is more likely to have room.
    let draws = grouped.into_iter().map(|group| {
        let weight = group.1.len() as f64;
        (fastrand::f64().powf(1.0 / weight), group)
    });
    let mut draws: Vec<(f64, (Leader, Vec<Candidate>))> = draws.collect();
    draws.sort_by(|one, other| other.0.total_cmp(&one.0));
    draws.into_iter().map(|(_, group)| group).collect()
}

async fn leader_of(daemon: &Daemon, group: &DomainName) -> Leader {
    let now_ms = daemon.shared_view.now_ms();
    let known = daemon.with_scheduling(|state| state.leaders.get(group).cloned());
    if let Some((leader, until_ms)) = known
        && now_ms < until_ms
    {
        return leader;
    }
    let leader = send_permits::leader_of(daemon, group.as_str()).await;
    daemon.with_scheduling(|state| {
        state.leaders.insert(group.clone(), (leader.clone(), now_ms + LEADER_VALID_MS));
    });
    leader
}

/// Returns the address of another daemon that leads; `None` if it is this daemon, or nobody.
fn address(leader: &Leader) -> Option<SocketAddr> {
    match leader {
        Leader::At { address, .. } => Some(*address),
        Leader::Here { .. } | Leader::Nobody => None,
    }
}

fn may_ask(task: &Task, leader: &Leader, now_ms: u64) -> bool {
    let Some(address) = address(leader) else { return true };
    let daemon = &task.daemon;
    let (daemons, is_large) = daemon.shared_view.with(|local_view| {
        let profile = local_view.prompt_profiles.get(&task.service);
        let is_large = profile
            .zip(task.head.size)
            .is_some_and(|(profile, size)| profile.is_large(size.prompt_tokens));
        // Daemons of other leaders ask this one, too.
        (local_view.retry_budgets.daemons.max(local_view.leader_clients), is_large)
    });
    daemon.with_scheduling(|state| {
        let is_paused =
            state.paused_until_ms.get(&address).is_some_and(|until_ms| now_ms < *until_ms);
        if state.budgets.len() >= MAX_BUDGETS {
            state.budgets.clear();
        }
        let budget = state.budgets.entry(address).or_default();
        !is_paused && budget.spend(daemons, is_large, now_ms)
    })
}

/// Records that a leader schedules no prompts.
fn pause(daemon: &Daemon, leader: &Leader, engines: &[Candidate]) {
    let now_ms = daemon.shared_view.now_ms();
    let is_logged = daemon.with_scheduling(|state| {
        for engine in engines {
            state.leaders.remove(&engine.domain);
        }
        if let Some(address) = address(leader) {
            state.paused_until_ms.retain(|_, until_ms| now_ms < *until_ms);
            state.paused_until_ms.insert(address, now_ms + PAUSE_MS);
        }
        let is_logged = now_ms >= state.logged_ms + LOG_INTERVAL_MS;
        if is_logged {
            state.logged_ms = now_ms;
        }
        is_logged
    });
    if is_logged {
        let group = engines.first().map(|engine| engine.domain.as_str());
        tracing::info!(group, "schedule: The leader schedules no prompts.");
    }
}

/// Records when the first event of a request came, or that the endpoint failed before, if a leader
/// assigned the request to it.
pub(crate) fn record_start(task: &Task, endpoint: &Endpoint, observed_ms: Option<u64>) {
    let Some(assignment) = task.prompt_schedule.last_assignment() else { return };
    let (engine, model) = (endpoint.incarnation(), task.head.model.clone());
    let Some(model) = model.filter(|_| assignment.engine == engine) else { return };
    let start = ObservedStart { model, engine, expected_ms: assignment.expected_ms, observed_ms };
    let (group, service) = (endpoint.domain.clone(), task.service.clone());
    let recorded_ms = task.daemon.shared_view.now_ms();
    task.daemon.with_scheduling(|state| {
        if state.starts.len() >= MAX_STARTS {
            state.starts.pop_front();
        }
        state.starts.push_back(UnreportedStart { group, service, start, recorded_ms });
    });
}

/// Takes the first events at engines of the same groups, which the same leader orders. Old ones, which
/// tell nothing of the engines now, are dropped.
fn take_starts(daemon: &Daemon, service: &ServiceName, engines: &[Candidate]) -> Vec<WireStart> {
    let now_ms = daemon.shared_view.now_ms();
    daemon.with_scheduling(|state| {
        let is_here = |start: &UnreportedStart| {
            start.service == *service && engines.iter().any(|engine| engine.domain == start.group)
        };
        let all = std::mem::take(&mut state.starts).into_iter();
        let recent = all.filter(|start| now_ms < start.recorded_ms + START_VALID_MS);
        let (here, kept): (VecDeque<_>, VecDeque<_>) = recent.partition(is_here);
        state.starts = kept;
        here.into_iter().map(|unreported| WireStart::from(unreported.start)).collect()
    })
}

fn wire_request(task: &Task, engines: &[Candidate], starts: Vec<WireStart>) -> WireScheduleRequest {
    let head = &task.head;
    let RequestSize { prompt_tokens, answer_tokens } =
        head.size.unwrap_or(RequestSize { prompt_tokens: 0, answer_tokens: 0 });
    let waited_ms = task.elapsed_ms();
    let team = task.identity.team();
    WireScheduleRequest {
        service: task.service.to_string(),
        model: head.model.as_ref().map(ToString::to_string).unwrap_or_default(),
        adapter: head.adapter.as_ref().map(ToString::to_string),
        engines: engines.iter().map(|engine| WireEngine::from(&engine.incarnation)).collect(),
        prompt_tokens,
        answer_tokens,
        parts: head.prompt_parts.iter().map(|part| (part.id, part.tokens)).collect(),
        request: head.fingerprint.map_or([0; 16], |fingerprint| *fingerprint.as_bytes()),
        team: team.map(|team| team.name.to_string()),
        team_rank: team.and_then(|team| team.priority),
        route_rank: task.route_rank,
        waited_ms,
        max_wait_ms: admission::latest_start_ms(&task.route, task.allowed_ms),
        due_in_ms: task.route.objective_ms.saturating_sub(waited_ms),
        units: quota_reservation::units_to_allocate(task),
        starts,
    }
}

/// Asks a leader, and the one that it names if another leads the engines. Returns the answer and the
/// leader that gave it.
async fn ask_with_redirect(
    task: &Task,
    leader: Leader,
    engines: &[Candidate],
) -> (WireSchedule, Leader) {
    let daemon = &task.daemon;
    let starts = take_starts(daemon, &task.service, engines);
    let request = wire_request(task, engines, starts);
    let schedule = ask(daemon, &leader, request.clone()).await;
    let WireSchedule::AskAt { address } = schedule else { return (schedule, leader) };
    let Some(group) = engines.first().map(|engine| engine.domain.clone()) else {
        return (schedule, leader);
    };
    let leader = Leader::At { address, group, token: 0 };
    let now_ms = daemon.shared_view.now_ms();
    daemon.with_scheduling(|state| {
        for engine in engines {
            state.leaders.insert(engine.domain.clone(), (leader.clone(), now_ms + NAMED_VALID_MS));
        }
    });
    match may_ask(task, &leader, now_ms) {
        true => (ask(daemon, &leader, request).await, leader),
        false => (WireSchedule::NotScheduling, leader),
    }
}

async fn ask(daemon: &Daemon, leader: &Leader, request: WireScheduleRequest) -> WireSchedule {
    let Some(address) = address(leader) else { return decide_here(daemon, request).await };
    let call =
        async |client: ReplicasClient, context| client.schedule_prompt(context, request).await;
    // Daemons of earlier releases close the connection, on which other calls may be waiting.
    let answer = daemon.schedule_calls.call(address, call).await;
    answer.unwrap_or(WireSchedule::NotScheduling)
}

/// Answers a request of another daemon: decides if this daemon leads some of the engines, and otherwise
/// names the leader that does.
pub(crate) async fn answer(daemon: &Daemon, request: WireScheduleRequest) -> WireSchedule {
    let names: Vec<EndpointName> =
        request.engines.iter().map(|engine| engine.name.as_str().into()).collect();
    let schedule = decide_here(daemon, request).await;
    if schedule != WireSchedule::NotScheduling {
        return schedule;
    }
    let group = daemon.shared_view.with(|local_view| {
        let mut listed = names.iter().filter_map(|name| local_view.directory.get(name));
        listed.next().map(|endpoint| endpoint.domain.clone())
    });
    let Some(group) = group else { return schedule };
    match address(&leader_of(daemon, &group).await) {
        Some(address) => WireSchedule::AskAt { address },
        None => schedule,
    }
}

/// Decides on a prompt for the engines whose groups this daemon leads at this moment, and allocates the
/// units of the team's limit that an assigned request needs. Units that were allocated before a wait for
/// room would lapse.
async fn decide_here(daemon: &Daemon, request: WireScheduleRequest) -> WireSchedule {
    let Some(question) = Question::new(daemon, request) else { return WireSchedule::NotScheduling };
    let schedule = question.decide(daemon);
    let Schedule::Assigned { engine, .. } = &schedule else { return schedule.into() };
    let allocation = match question.team_units() {
        Some(request) => allocate(daemon, request).await,
        None => WireAllocation::NotLending,
    };
    if let WireAllocation::Refused { in_ms } = allocation {
        return WireSchedule::OverLimit { in_ms };
    }
    // The lease may have been released or lost while the units were allocated.
    if !leads(daemon, engine) {
        return WireSchedule::NotScheduling;
    }
    question.commit(daemon, engine);
    let has_units = matches!(allocation, WireAllocation::Lent { .. });
    match WireSchedule::from(schedule) {
        WireSchedule::Assigned { engine, expected_ms, unread_tokens, .. } => {
            WireSchedule::Assigned { engine, expected_ms, unread_tokens, has_units }
        }
        other => other,
    }
}

/// Returns whether this daemon holds the lease of an engine's group at this moment.
fn leads(daemon: &Daemon, engine: &Incarnation) -> bool {
    let led = daemon.order_permits.held(daemon.shared_view.now_ms());
    daemon.shared_view.with(|local_view| is_led(local_view, &led, engine))
}

fn is_led(
    local_view: &LocalView,
    led: &BTreeMap<DomainName, HeldLease>,
    engine: &Incarnation,
) -> bool {
    let endpoint = local_view.directory.get(&engine.name);
    endpoint.is_some_and(|endpoint| led.contains_key(&endpoint.domain))
}

/// Allocates units from what leaders hold; without an answer in time the daemon reserves them itself.
async fn allocate(daemon: &Daemon, request: WireAllocationRequest) -> WireAllocation {
    let timed_out = async {
        Timer::after(Duration::from_millis(UNITS_MS)).await;
        WireAllocation::NotLending
    };
    allocation::allocate(daemon, request).or(timed_out).await
}

/// A daemon's request for a decision, with what the decision depends on.
struct Question {
    service: ServiceName,
    model: ModelName,
    adapter: Option<AdapterName>,
    size: RequestSize,
    parts: Vec<PromptPart>,
    waiting: WaitingRequest,
    starts: Vec<ObservedStart>,
    units: u64,
    bounds: EngineBounds,
    policy: Policy,
}

impl Question {
    /// Reads a request; `None` if this daemon leads none of its engines.
    fn new(daemon: &Daemon, request: WireScheduleRequest) -> Option<Self> {
        let now_ms = daemon.shared_view.now_ms();
        let led = daemon.order_permits.held(now_ms);
        let service = ServiceName::from(request.service.as_str());
        let engines = request.engines.iter().take(MAX_ENGINES).cloned().map(Incarnation::from);
        let engines: BTreeSet<Incarnation> = engines.collect();
        let (bounds, engines, policy) = daemon.shared_view.with(|local_view| {
            let catalog = local_view.catalog.as_ref();
            let bounds = catalog.and_then(|catalog| EngineBounds::of(catalog, &service));
            let engines: Vec<Incarnation> =
                engines.into_iter().filter(|engine| is_led(local_view, &led, engine)).collect();
            (bounds, engines, local_view.policy.clone())
        });
        let bounds = bounds.filter(|_| !engines.is_empty())?;
        let has_parts = policy.has(Mechanism::KeptParts);
        let parts = request.prompt_parts().into_iter().take(MAX_PARTS).filter(|_| has_parts);
        let WireScheduleRequest { prompt_tokens, answer_tokens, .. } = request;
        Some(Self {
            service,
            model: request.model.as_str().into(),
            adapter: request.adapter.as_deref().map(AdapterName::from),
            size: RequestSize { prompt_tokens, answer_tokens },
            parts: parts.collect(),
            starts: request.starts.into_iter().take(MAX_STARTS).map(Into::into).collect(),
            units: request.units,
            bounds,
            policy,
            waiting: WaitingRequest {
                id: Fingerprint::from_bytes(request.request),
                team: request.team.map(TeamName::from),
                team_rank: request.team_rank.unwrap_or(request.route_rank),
                route_rank: request.route_rank,
                waited_ms: request.waited_ms,
                max_wait_ms: request.max_wait_ms,
                due_in_ms: request.due_in_ms,
                work_ms: 0.0,
                engines,
            },
        })
    }

    fn prompt(&self) -> Prompt<'_> {
        let Self { model, adapter, size, parts, .. } = self;
        Prompt { model, adapter: adapter.as_ref(), size: *size, parts }
    }

    /// Returns the request for the units that the decision must allocate; `None` if it needs none.
    fn team_units(&self) -> Option<WireAllocationRequest> {
        let team = self.waiting.team.as_ref().filter(|_| self.units > 0)?;
        Some(WireAllocationRequest { team: team.to_string(), units: self.units, is_leader: false })
    }

    fn decide(&self, daemon: &Daemon) -> Schedule {
        let now_ms = daemon.shared_view.now_ms();
        let Self { service, waiting, bounds, policy, .. } = self;
        daemon.with_prompt_scheduler(|scheduler| {
            if policy.has(Mechanism::EngineSpeeds) {
                scheduler.record_starts(service, &self.starts, now_ms);
            }
            scheduler.schedule(service, self.prompt(), waiting, *bounds, policy, now_ms)
        })
    }

    fn commit(&self, daemon: &Daemon, engine: &Incarnation) {
        let now_ms = daemon.shared_view.now_ms();
        let Self { service, waiting, bounds, .. } = self;
        daemon.with_prompt_scheduler(|scheduler| {
            scheduler.commit(service, self.prompt(), waiting, engine, *bounds, now_ms);
        });
    }
}
