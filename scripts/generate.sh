#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. Needs the package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
generate() {
    flatc --cpp --gen-object-api --object-suffix _message --scoped-enums --cpp-std c++17 \
        --filename-suffix _generated -o generated/tamarackglade/schema "$@"
}
generate schema/log.fbs schema/wire.fbs schema/batches.fbs
# Reports to several peers differ in one field, which the mutable API changes in place.
generate --gen-mutable schema/peer.fbs
