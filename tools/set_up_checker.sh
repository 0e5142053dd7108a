#!/bin/sh
# Installs Spin and a C compiler, which check the models, where they are missing.
# Prints nothing if they are there at the end; else one line that says why not, and
# exits with 1.

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
  # unquoted: one word for each package
  DEBIAN_FRONTEND=noninteractive apt-get install -qq -y $missing
}

if ! said=$(install 2>&1 </dev/null); then
  echo "$missing not installed: $(echo "$said" | tail -n 1)"
  exit 1
fi

for program in spin gcc; do
  if ! command -v "$program" >/dev/null; then
    echo "$missing installed, but no $program on the PATH"
    exit 1
  fi
done
