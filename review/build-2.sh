#!/bin/bash
# Builds the stand-ins and clients of the cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/second
