#!/bin/bash
# Builds the stand-ins and clients of the cases.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cases
