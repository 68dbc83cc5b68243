#!/bin/sh
# Builds the stand-ins and the drivers of the cases in target/review/, after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/objects
flags="-std=c++20 -O1 -Wall -Wextra -I. $(pkg-config --cflags cpp-httplib)"
libraries="$(pkg-config --libs cpp-httplib) -pthread"
compile() {
    g++ $flags -c "$1" -o "target/review/objects/$2.o"
}
compile standins/common/ConnectionStream.cpp ConnectionStream &
compile standins/common/ConnectionThreads.cpp ConnectionThreads &
compile standins/common/LoopbackServer.cpp LoopbackServer &
compile standins/common/ProcessClock.cpp ProcessClock &
compile review/standins/Deployment.cpp Deployment &
compile review/standins/store.cpp store &
compile review/standins/worker.cpp worker &
for folder in review/[1-5]; do
    if [ -f "$folder/case.cpp" ]; then
        compile "$folder/case.cpp" "case$(basename "$folder")" &
    fi
done
wait
server="ConnectionStream ConnectionThreads LoopbackServer ProcessClock"
link() {
    program=$1
    shift
    objects=
    for name in "$@"; do
        objects="$objects target/review/objects/$name.o"
    done
    g++ $objects -o "target/review/$program" $libraries
}
link store store $server
link worker worker $server
for folder in review/[1-5]; do
    if [ -f "$folder/case.cpp" ]; then
        number=$(basename "$folder")
        link "case$number" "case$number" Deployment
    fi
done
