#!/bin/sh
# Installs Spin and a C compiler, which the model checks need, if they are missing.
# On failure prints one line with the reason and exits with 1.

missing=""
command -v spin >/dev/null || missing="spin"
command -v gcc >/dev/null || missing="${missing:+$missing }gcc libc6-dev"
[ -n "$missing" ] || exit 0

if ! command -v apt-get >/dev/null; then
  echo "$missing missing, and no apt-get to install with"
  exit 1
fi

install() {
  apt-get update -qq || return
  # Unquoted, so that each package is an argument of its own.
  DEBIAN_FRONTEND=noninteractive apt-get install -qq -y $missing
}

if ! output=$(install 2>&1 </dev/null); then
  echo "$missing not installed: $(echo "$output" | tail -n 1)"
  exit 1
fi

for program in spin gcc; do
  if ! command -v "$program" >/dev/null; then
    echo "$missing installed, but no $program on the PATH"
    exit 1
  fi
done
