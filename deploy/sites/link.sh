#!/bin/sh
# Links what the bench wants beside a site file from the kit: sh deploy/sites/link.sh [KIT]
# KIT is the kit's folder, ../given/kit from the root if it is not told. The links are not committed.
set -eu
cd "$(dirname "$0")"
kit=${1:-../../../given/kit}
for name in real.json wire.json unlock.txt; do
	from=$kit/more/mass/other/$name
	if [ ! -f "$from" ]; then
		echo "link.sh: $name is not in $kit/more/mass/other: is the kit there? Its folder can be told: link.sh KIT" >&2
		exit 1
	fi
	ln -sf "$from" "$name"
done
