#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. Needs the package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --object-suffix _message --scoped-enums --cpp-std c++17 \
    --filename-suffix _generated -o generated/tamarackglade/schema schema/log.fbs schema/wire.fbs \
    schema/batches.fbs
# Reports to several peers differ in one field, which is set in place.
flatc --cpp --gen-object-api --object-suffix _message --scoped-enums --cpp-std c++17 --gen-mutable \
    --filename-suffix _generated -o generated/tamarackglade/schema schema/peer.fbs
