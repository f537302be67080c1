# Strict warnings for the project's own code.
function(tamarack_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                         -Woverloaded-virtual -Wcast-qual -Wunused)
  if(TAMARACK_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
endfunction()
