#!/bin/sh
# Builds the stand-ins that the cases review/6 to review/10 start. Run it from any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -ldflags=-linkmode=external -o bin/review-2 ./review/stand2
