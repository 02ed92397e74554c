#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" review-3 "$here"
