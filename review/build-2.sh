#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node, so that nothing has to be compiled; checks that each can be loaded.
cd "$(dirname "$0")" || exit 2
for file in stand-ins/*.mjs [6-9]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
