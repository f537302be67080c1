# Lists the files from which programs are built, with hashes of their contents.

# Sets `out` to a line "HASH  PATH" for each file under the folders of `root`, sorted by path, and
# for `root`'s CMakeLists.txt; paths are relative to `root`.
function(tamarack_source_files out root)
  set(patterns)
  foreach(folder IN LISTS ARGN)
    foreach(ending IN ITEMS cpp hpp h fbs txt cmake)
      list(APPEND patterns "${root}/${folder}/*.${ending}")
    endforeach()
  endforeach()
  file(GLOB_RECURSE paths RELATIVE "${root}" ${patterns})
  list(APPEND paths CMakeLists.txt)
  list(SORT paths)
  set(lines)
  foreach(path IN LISTS paths)
    file(SHA256 "${root}/${path}" hash)
    string(APPEND lines "${hash}  ${path}\n")
  endforeach()
  set(${out} "${lines}" PARENT_SCOPE)
endfunction()

# Folders of all programs that are installed. tests/e2e/gateway.py has the same list.
set(TAMARACK_PRODUCT_FOLDERS apps cmake generated include platform schema src)

# Sets `out` to what a build folder of `root` is built from on this machine, given its source files.
function(tamarack_build_record out root files)
  cmake_host_system_information(RESULT machine QUERY OS_PLATFORM)
  set(${out} "machine ${machine}\nroot ${root}\n${files}" PARENT_SCOPE)
endfunction()
