#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, in target/review-2/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out/objects"
flags="-std=c++20 -O1 -Wall -Wextra -I. $(pkg-config --cflags cpp-httplib)"
libraries="$(pkg-config --libs cpp-httplib) -pthread"
names=
for source in standins/common/ConnectionStream.cpp standins/common/ConnectionThreads.cpp \
    standins/common/LoopbackServer.cpp review/standins-2/*.cpp review/6/case.cpp review/7/case.cpp \
    review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    name=$(echo "$source" | tr '/' '-')
    g++ $flags -c "$source" -o "$out/objects/$name.o" &
    names="$names $name"
done
wait
shared=
for name in $names; do
    case $name in
    review-[0-9]*-case.cpp) ;;
    *) shared="$shared $out/objects/$name.o" ;;
    esac
done
for number in 6 7 8 9 10; do
    object=$out/objects/review-$number-case.cpp.o
    if [ -f "review/$number/case.cpp" ]; then
        g++ "$object" $shared -o "$out/case$number" $libraries
    fi
done
