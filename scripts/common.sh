# Shared by the scripts and by CI: where things are, what must be installed, and how a tree is built.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="${AZUREMOOR_BUILD:-$ROOT/build}"

# Installs the Debian packages of packages.txt that are missing.
install_packages() {
    local missing=()
    local package
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
    done < "$ROOT/packages.txt"
    if [ "${#missing[@]}" -eq 0 ]; then
        return 0
    fi
    echo "installing: ${missing[*]}"
    local privileged=()
    if [ "$(id -u)" -ne 0 ]; then
        privileged=(sudo)
    fi
    "${privileged[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${privileged[@]}" apt-get install -y -qq "${missing[@]}" > /dev/null
}

# Configures a tree. The first argument is its folder, the others go to CMake.
configure_tree() {
    local tree="$1"
    shift
    cmake -S "$ROOT" -B "$tree" -G Ninja "$@" > "$tree.configure.log" 2>&1 || { cat "$tree.configure.log"; return 1; }
}

# Builds targets of a configured tree, all of it if none is named. The first argument is its folder.
build_targets() {
    local tree="$1"
    shift
    cmake --build "$tree" --target "${@:-all}" > "$tree.build.log" 2>&1 || { grep -E 'error|warning|FAILED' "$tree.build.log" | head -40; return 1; }
}

# Builds like build_targets, and prints each tenth step and the last one.
build_targets_with_progress() {
    local tree="$1"
    shift
    cmake --build "$tree" --target "$@" 2>&1 | tee "$tree.build.log" \
        | awk -F'[][/]' '/^\[[0-9]+\/[0-9]+\]/ { if ($2 % 10 == 0 || $2 == $3) { print "   step " $2 " of " $3; fflush() } }' \
        || { grep -E 'error|warning|FAILED' "$tree.build.log" | head -40; return 1; }
}

# Configures and builds a tree. The first argument is its folder, the others go to CMake.
build_tree() {
    configure_tree "$@" && build_targets "$1"
}
