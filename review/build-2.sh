#!/bin/sh
# Builds the stand-ins of the second review's cases. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -trimpath -o bin/review-standins ./review/standins
