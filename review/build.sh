#!/bin/sh
# Builds the stand-ins and clients that the scripts start. They use the standard library only.
cd "$(dirname "$0")/standin" && exec cargo build --release --offline --locked --target-dir ../../target/review
