#!/usr/bin/env bash
# Compiles the stand-ins and the checks of all cases into target/review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/lib/*.java review/[1-5]/*.java
