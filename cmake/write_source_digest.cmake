# Writes a header with the digest of the programs' sources, and a build folder's record of them.
# cmake -DROOT=... -DHEADER=... -DRECORD=... -P write_source_digest.cmake
cmake_minimum_required(VERSION 3.25)
include("${CMAKE_CURRENT_LIST_DIR}/source_files.cmake")
tamarack_source_files(files "${ROOT}" ${TAMARACK_PRODUCT_FOLDERS})
string(SHA256 digest "${files}")
string(SUBSTRING "${digest}" 0 16 digest)
file(WRITE "${HEADER}" "// Written by cmake/write_source_digest.cmake.\n#pragma once\n\n"
     "inline constexpr char SourceDigest[] = \"${digest}\";\n")
tamarack_build_record(record "${ROOT}" "${files}")
file(WRITE "${RECORD}" "${record}")
