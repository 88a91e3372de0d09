#!/bin/bash
# Builds the program that plays the cases 11 to 15 with its stand-ins, which are the project's own
# or stand in review/third.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/drive ./review/third/drive
