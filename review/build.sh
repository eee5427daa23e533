#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]; do
	go build -trimpath -o "review/bin/case${case#review/}" "./$case"
done
