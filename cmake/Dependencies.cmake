# Every third-party library the project links, as imported or interface targets.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
if(OCHRESPRING_GATEWAY_ONLY)
  find_package(Boost 1.74 REQUIRED)
else()
  find_package(Boost 1.74 REQUIRED COMPONENTS serialization)
endif()
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)

find_path(H2O_INCLUDE_DIRECTORY h2o.h REQUIRED)
find_library(H2O_EVLOOP_LIBRARY h2o-evloop REQUIRED)
add_library(ochrespring_h2o INTERFACE)
target_include_directories(ochrespring_h2o SYSTEM INTERFACE ${H2O_INCLUDE_DIRECTORY})
target_compile_definitions(ochrespring_h2o INTERFACE H2O_USE_LIBUV=0)
target_link_libraries(ochrespring_h2o INTERFACE ${H2O_EVLOOP_LIBRARY} OpenSSL::SSL OpenSSL::Crypto ZLIB::ZLIB
                                                Threads::Threads m)

find_library(XXHASH_LIBRARY xxhash REQUIRED)
add_library(ochrespring_xxhash INTERFACE)
target_link_libraries(ochrespring_xxhash INTERFACE ${XXHASH_LIBRARY})

find_library(PROMETHEUS_CORE_LIBRARY prometheus-cpp-core REQUIRED)
add_library(ochrespring_prometheus INTERFACE)
target_link_libraries(ochrespring_prometheus INTERFACE ${PROMETHEUS_CORE_LIBRARY})

if(OCHRESPRING_GATEWAY_ONLY)
  return()
endif()

find_package(yaml-cpp REQUIRED)
find_package(benchmark REQUIRED)
pkg_check_modules(GRPC REQUIRED IMPORTED_TARGET grpc++ protobuf)

find_path(DOCTEST_INCLUDE_DIRECTORY doctest/doctest.h REQUIRED)
add_library(ochrespring_doctest INTERFACE)
target_include_directories(ochrespring_doctest SYSTEM INTERFACE ${DOCTEST_INCLUDE_DIRECTORY})

find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
add_library(ochrespring_rapidcheck INTERFACE)
target_link_libraries(ochrespring_rapidcheck INTERFACE ${RAPIDCHECK_LIBRARY})
