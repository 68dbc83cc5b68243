#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Run it from anywhere, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -g -Wall -Wextra -I."
parts="standins/common/ConnectionStream.cpp standins/common/ConnectionThreads.cpp
standins/common/LoopbackServer.cpp standins/common/ProcessClock.cpp soak/StoreServer.cpp
review/standins-3/Record.cpp review/standins-3/FleetWorker.cpp review/standins-3/Deployment.cpp"
jobs=""
objects=""
for source in $parts; do
    object="$out/$(echo "$source" | tr / _).o"
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object" &
    jobs="$jobs $!"
    objects="$objects $object"
done
for job in $jobs; do
    wait "$job"
done
for program in sound_task late_start new_kind; do
    # shellcheck disable=SC2086
    g++ $flags "review/standins-3/$program.cpp" $objects \
        $(pkg-config --cflags --libs cpp-httplib) -pthread -o "$out/$program"
done
