# Adds the library sequoia_NAME with all sources of the current folder. The
# other arguments are the libraries to link it to. Without sources it is a
# header-only library.
function(sequoia_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_library(sequoia_${name} STATIC ${sources})
        target_link_libraries(sequoia_${name} PUBLIC ${ARGN})
    else()
        add_library(sequoia_${name} INTERFACE)
        target_link_libraries(sequoia_${name} INTERFACE ${ARGN})
    endif()
endfunction()

# Adds the executable NAME_tests with all *_test.cpp files of the current folder
# and registers each of its test cases. The other arguments are the libraries to
# link it to.
function(sequoia_tests name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name}_tests ${sources})
    target_link_libraries(${name}_tests PRIVATE
        ${ARGN} GTest::gmock GTest::gtest_main)
    gtest_discover_tests(${name}_tests
        PROPERTIES TIMEOUT 120 DISCOVERY_TIMEOUT 60)
endfunction()
