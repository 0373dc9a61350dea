#!/bin/sh
# Starts an edge daemon with the command of deploy/system.toml. Its caller adds `--source ADDRESS`,
# since several machines share the loopback interface.
exec target/release/thistlesill-edge --metrics "$2:9464" "$@"
