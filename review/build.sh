#!/bin/sh
# Builds the program that the cases of the review run: their clients, endpoints and platform, in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review ./review/rig
