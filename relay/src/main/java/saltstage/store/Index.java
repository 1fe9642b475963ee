package saltstage.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/**
 * An ordered map from keys to the locations of their values, as an immutable tree. A change returns
 * a new tree that shares all nodes except the path to the changed key, so readers of an older tree
 * never block a writer. A leaf packs its keys into one array, because an object per key would take
 * more memory than the key itself.
 */
final class Index {
    static final Index EMPTY = new Index(null, 0);

    private static final int MAX_NODE_ENTRIES = 64;
    private static final int MIN_NODE_ENTRIES = 16;

    /** The entries per node when keys are added in order; below the maximum to leave free space. */
    private static final int FILL_NODE_ENTRIES = 56;

    /** The address of a key's entry in the log, its version and the length of its value. */
    record Location(long address, long version, int valueLength) {
        static long addressOf(long segment, long offset) {
            return segment << 32 | offset;
        }

        long segmentId() {
            return address >>> 32;
        }

        long offset() {
            return address & 0xffff_ffffL;
        }
    }

    private final Node root;
    private final long size;

    private Index(Node root, long size) {
        this.root = root;
        this.size = size;
    }

    long size() {
        return size;
    }

    Location find(byte[] key) {
        Node node = root;
        while (node instanceof Branch branch) {
            node = branch.children[branch.childIndex(key)];
        }
        if (!(node instanceof Leaf leaf)) {
            return null;
        }
        int i = leaf.search(key);
        return i < 0 ? null : leaf.location(i);
    }

    Index put(byte[] key, Location location) {
        if (root == null) {
            return new Index(Leaf.of(key, location), 1);
        }
        boolean exists = find(key) != null;
        Node[] halves = root.put(key, location);
        Node newRoot = halves.length == 1 ? halves[0] : new Branch(halves, lowKeys(halves));
        return new Index(newRoot, exists ? size : size + 1);
    }

    Index delete(byte[] key) {
        if (find(key) == null) {
            return this;
        }
        Node newRoot = root.delete(key);
        while (newRoot instanceof Branch branch && branch.children.length == 1) {
            newRoot = branch.children[0];
        }
        return new Index(newRoot, size - 1);
    }

    private static byte[][] lowKeys(Node[] children) {
        byte[][] lowKeys = new byte[children.length][];
        for (int i = 0; i < lowKeys.length; i++) {
            lowKeys[i] = children[i].lowKey();
        }
        return lowKeys;
    }

    /** A node of the tree. Its low key is less than or equal to every key below it. */
    private abstract static class Node {
        abstract byte[] lowKey();

        abstract int count();

        /**
         * Returns the node with the key added or replaced, or its two halves if it had to be split.
         */
        abstract Node[] put(byte[] key, Location location);

        /** Returns the node without the key, which must exist, or null if it was the last one. */
        abstract Node delete(byte[] key);
    }

    /** A node with entries, stored as parallel arrays. The keys are packed one after the other. */
    private static final class Leaf extends Node {
        private final byte[] keys;
        private final int[] keyEnds;
        private final long[] addresses;
        private final long[] versions;
        private final int[] valueLengths;

        Leaf(byte[] keys, int[] keyEnds, long[] addresses, long[] versions, int[] valueLengths) {
            this.keys = keys;
            this.keyEnds = keyEnds;
            this.addresses = addresses;
            this.versions = versions;
            this.valueLengths = valueLengths;
        }

        static Leaf of(byte[] key, Location location) {
            return new Leaf(
                    key.clone(),
                    new int[] {key.length},
                    new long[] {location.address()},
                    new long[] {location.version()},
                    new int[] {location.valueLength()});
        }

        private int keyStart(int i) {
            return i == 0 ? 0 : keyEnds[i - 1];
        }

        byte[] key(int i) {
            return Arrays.copyOfRange(keys, keyStart(i), keyEnds[i]);
        }

        Location location(int i) {
            return new Location(addresses[i], versions[i], valueLengths[i]);
        }

        /** Returns the position of the key, or {@code -(insertion point) - 1} if it is missing. */
        int search(byte[] key) {
            int low = 0;
            int high = keyEnds.length - 1;
            while (low <= high) {
                int middle = (low + high) >>> 1;
                int order =
                        Arrays.compareUnsigned(
                                keys, keyStart(middle), keyEnds[middle], key, 0, key.length);
                if (order == 0) {
                    return middle;
                }
                if (order < 0) {
                    low = middle + 1;
                } else {
                    high = middle - 1;
                }
            }
            return -low - 1;
        }

        @Override
        byte[] lowKey() {
            return key(0);
        }

        @Override
        int count() {
            return keyEnds.length;
        }

        @Override
        Node[] put(byte[] key, Location location) {
            int i = search(key);
            if (i >= 0) {
                long[] newAddresses = addresses.clone();
                long[] newVersions = versions.clone();
                int[] newValueLengths = valueLengths.clone();
                newAddresses[i] = location.address();
                newVersions[i] = location.version();
                newValueLengths[i] = location.valueLength();
                return new Node[] {
                    new Leaf(keys, keyEnds, newAddresses, newVersions, newValueLengths)
                };
            }
            int position = -i - 1;
            Leaf enlarged = insert(position, key, location);
            if (enlarged.count() <= MAX_NODE_ENTRIES) {
                return new Node[] {enlarged};
            }
            // Keys that are added in ascending order leave nearly full leaves behind.
            int split = position == keyEnds.length ? FILL_NODE_ENTRIES : enlarged.count() / 2;
            return new Node[] {enlarged.slice(0, split), enlarged.slice(split, enlarged.count())};
        }

        private Leaf insert(int position, byte[] key, Location location) {
            int n = keyEnds.length;
            int from = keyStart(position);
            byte[] newKeys = new byte[keys.length + key.length];
            System.arraycopy(keys, 0, newKeys, 0, from);
            System.arraycopy(key, 0, newKeys, from, key.length);
            System.arraycopy(keys, from, newKeys, from + key.length, keys.length - from);
            int[] newKeyEnds = new int[n + 1];
            System.arraycopy(keyEnds, 0, newKeyEnds, 0, position);
            newKeyEnds[position] = from + key.length;
            for (int j = position; j < n; j++) {
                newKeyEnds[j + 1] = keyEnds[j] + key.length;
            }
            return new Leaf(
                    newKeys,
                    newKeyEnds,
                    insertAt(addresses, position, location.address()),
                    insertAt(versions, position, location.version()),
                    insertAt(valueLengths, position, location.valueLength()));
        }

        private static long[] insertAt(long[] all, int position, long value) {
            long[] enlarged = new long[all.length + 1];
            System.arraycopy(all, 0, enlarged, 0, position);
            enlarged[position] = value;
            System.arraycopy(all, position, enlarged, position + 1, all.length - position);
            return enlarged;
        }

        private static int[] insertAt(int[] all, int position, int value) {
            int[] enlarged = new int[all.length + 1];
            System.arraycopy(all, 0, enlarged, 0, position);
            enlarged[position] = value;
            System.arraycopy(all, position, enlarged, position + 1, all.length - position);
            return enlarged;
        }

        private Leaf slice(int from, int to) {
            int shift = keyStart(from);
            int[] newKeyEnds = new int[to - from];
            for (int i = from; i < to; i++) {
                newKeyEnds[i - from] = keyEnds[i] - shift;
            }
            return new Leaf(
                    Arrays.copyOfRange(keys, shift, keyEnds[to - 1]),
                    newKeyEnds,
                    Arrays.copyOfRange(addresses, from, to),
                    Arrays.copyOfRange(versions, from, to),
                    Arrays.copyOfRange(valueLengths, from, to));
        }

        Leaf join(Leaf right) {
            int n = keyEnds.length;
            int[] newKeyEnds = Arrays.copyOf(keyEnds, n + right.keyEnds.length);
            for (int i = 0; i < right.keyEnds.length; i++) {
                newKeyEnds[n + i] = keys.length + right.keyEnds[i];
            }
            byte[] newKeys = Arrays.copyOf(keys, keys.length + right.keys.length);
            System.arraycopy(right.keys, 0, newKeys, keys.length, right.keys.length);
            return new Leaf(
                    newKeys,
                    newKeyEnds,
                    concat(addresses, right.addresses),
                    concat(versions, right.versions),
                    concat(valueLengths, right.valueLengths));
        }

        private static long[] concat(long[] a, long[] b) {
            long[] all = Arrays.copyOf(a, a.length + b.length);
            System.arraycopy(b, 0, all, a.length, b.length);
            return all;
        }

        private static int[] concat(int[] a, int[] b) {
            int[] all = Arrays.copyOf(a, a.length + b.length);
            System.arraycopy(b, 0, all, a.length, b.length);
            return all;
        }

        @Override
        Node delete(byte[] key) {
            int i = search(key);
            if (keyEnds.length == 1) {
                return null;
            }
            if (i == 0) {
                return slice(1, keyEnds.length);
            }
            return i == keyEnds.length - 1
                    ? slice(0, i)
                    : slice(0, i).join(slice(i + 1, keyEnds.length));
        }
    }

    /** An inner node: its children and the low key of each. */
    private static final class Branch extends Node {
        private final Node[] children;
        private final byte[][] lowKeys;

        Branch(Node[] children, byte[][] lowKeys) {
            this.children = children;
            this.lowKeys = lowKeys;
        }

        int childIndex(byte[] key) {
            int low = 1;
            int high = children.length - 1;
            while (low <= high) {
                int middle = (low + high) >>> 1;
                if (Arrays.compareUnsigned(lowKeys[middle], key) <= 0) {
                    low = middle + 1;
                } else {
                    high = middle - 1;
                }
            }
            return high;
        }

        @Override
        byte[] lowKey() {
            return lowKeys[0];
        }

        @Override
        int count() {
            return children.length;
        }

        @Override
        Node[] put(byte[] key, Location location) {
            int i = childIndex(key);
            Node[] halves = children[i].put(key, location);
            if (halves.length == 1) {
                Node[] changed = children.clone();
                changed[i] = halves[0];
                return new Node[] {new Branch(changed, lowKeys)};
            }
            int n = children.length;
            Node[] newChildren = Arrays.copyOf(children, n + 1);
            byte[][] newLowKeys = Arrays.copyOf(lowKeys, n + 1);
            System.arraycopy(children, i + 1, newChildren, i + 2, n - i - 1);
            System.arraycopy(lowKeys, i + 1, newLowKeys, i + 2, n - i - 1);
            newChildren[i] = halves[0];
            newChildren[i + 1] = halves[1];
            newLowKeys[i + 1] = halves[1].lowKey();
            if (n + 1 <= MAX_NODE_ENTRIES) {
                return new Node[] {new Branch(newChildren, newLowKeys)};
            }
            int split = i == n - 1 ? FILL_NODE_ENTRIES : (n + 1) / 2;
            return new Node[] {
                slice(newChildren, newLowKeys, 0, split),
                slice(newChildren, newLowKeys, split, n + 1)
            };
        }

        private static Branch slice(Node[] children, byte[][] lowKeys, int from, int to) {
            return new Branch(
                    Arrays.copyOfRange(children, from, to), Arrays.copyOfRange(lowKeys, from, to));
        }

        @Override
        Node delete(byte[] key) {
            int i = childIndex(key);
            Node changedChild = children[i].delete(key);
            if (changedChild == null) {
                return children.length == 1 ? null : withoutChild(i);
            }
            Node[] newChildren = children.clone();
            newChildren[i] = changedChild;
            Branch changed = new Branch(newChildren, lowKeys);
            if (changedChild.count() >= MIN_NODE_ENTRIES || newChildren.length == 1) {
                return changed;
            }
            int first = i == 0 ? 0 : i - 1;
            return changed.withMergedChildren(first);
        }

        private Branch withoutChild(int i) {
            int n = children.length;
            Node[] newChildren = Arrays.copyOf(children, n - 1);
            byte[][] newLowKeys = Arrays.copyOf(lowKeys, n - 1);
            System.arraycopy(children, i + 1, newChildren, i, n - i - 1);
            System.arraycopy(lowKeys, i + 1, newLowKeys, i, n - i - 1);
            return new Branch(newChildren, newLowKeys);
        }

        /** Merges two neighbouring children if they fit into one node with room to grow. */
        private Branch withMergedChildren(int first) {
            Node a = children[first];
            Node b = children[first + 1];
            if (a.count() + b.count() > FILL_NODE_ENTRIES) {
                return this;
            }
            Node joined =
                    a instanceof Leaf left
                            ? left.join((Leaf) b)
                            : join((Branch) a, (Branch) b, first);
            Branch merged = withoutChild(first + 1);
            merged.children[first] = joined; // the array is a copy that is not shared yet
            return merged;
        }

        private Branch join(Branch a, Branch b, int first) {
            int n = a.children.length;
            Node[] all = Arrays.copyOf(a.children, n + b.children.length);
            byte[][] allLowKeys = Arrays.copyOf(a.lowKeys, n + b.children.length);
            System.arraycopy(b.children, 0, all, n, b.children.length);
            System.arraycopy(b.lowKeys, 0, allLowKeys, n, b.children.length);
            allLowKeys[n] = lowKeys[first + 1]; // the low key of b by which this node searches
            return new Branch(all, allLowKeys);
        }
    }

    /** Iterates over the keys in order, from a given key on. */
    static final class Cursor {
        private final Deque<Branch> branches = new ArrayDeque<>();
        private final Deque<Integer> nextChildren = new ArrayDeque<>();
        private Leaf leaf;
        private int entryIndex;

        private Cursor(Index index, byte[] from) {
            Node node = index.root;
            while (node instanceof Branch branch) {
                int child = from == null ? 0 : branch.childIndex(from);
                branches.push(branch);
                nextChildren.push(child + 1);
                node = branch.children[child];
            }
            leaf = (Leaf) node;
            int found = leaf == null || from == null ? 0 : leaf.search(from);
            entryIndex = (found < 0 ? -found - 1 : found) - 1;
        }

        /** Moves to the next key. Returns false at the end. */
        boolean advance() {
            if (leaf == null) {
                return false;
            }
            entryIndex++;
            while (entryIndex >= leaf.count()) {
                while (!branches.isEmpty()
                        && nextChildren.peek() >= branches.peek().children.length) {
                    branches.pop();
                    nextChildren.pop();
                }
                if (branches.isEmpty()) {
                    leaf = null;
                    return false;
                }
                int child = nextChildren.pop();
                nextChildren.push(child + 1);
                descend(branches.peek().children[child]);
            }
            return true;
        }

        private void descend(Node from) {
            Node node = from;
            while (node instanceof Branch branch) {
                branches.push(branch);
                nextChildren.push(1);
                node = branch.children[0];
            }
            leaf = (Leaf) node;
            entryIndex = 0;
        }

        byte[] key() {
            return leaf.key(entryIndex);
        }

        Location location() {
            return leaf.location(entryIndex);
        }
    }

    /**
     * Returns a cursor before the first key that is not less than the given one; null starts at the
     * first key.
     */
    Cursor cursor(byte[] from) {
        return new Cursor(this, from);
    }

    /** Builds an index from entries that are added in key order. */
    static final class Builder {
        private final List<Node> leaves = new ArrayList<>();
        private final List<byte[]> keys = new ArrayList<>();
        private final List<Location> locations = new ArrayList<>();
        private byte[] lastKey;
        private long size;

        /** Adds an entry. Returns false if its key is not greater than the previous one. */
        boolean add(byte[] key, Location location) {
            if (lastKey != null && Arrays.compareUnsigned(lastKey, key) >= 0) {
                return false;
            }
            lastKey = key;
            keys.add(key);
            locations.add(location);
            size++;
            if (keys.size() == FILL_NODE_ENTRIES) {
                flushLeaf();
            }
            return true;
        }

        private void flushLeaf() {
            int n = keys.size();
            int bytes = keys.stream().mapToInt(k -> k.length).sum();
            byte[] packed = new byte[bytes];
            int[] keyEnds = new int[n];
            long[] addresses = new long[n];
            long[] versions = new long[n];
            int[] valueLengths = new int[n];
            int end = 0;
            for (int i = 0; i < n; i++) {
                System.arraycopy(keys.get(i), 0, packed, end, keys.get(i).length);
                end += keys.get(i).length;
                keyEnds[i] = end;
                addresses[i] = locations.get(i).address();
                versions[i] = locations.get(i).version();
                valueLengths[i] = locations.get(i).valueLength();
            }
            leaves.add(new Leaf(packed, keyEnds, addresses, versions, valueLengths));
            keys.clear();
            locations.clear();
        }

        Index build() {
            if (!keys.isEmpty()) {
                flushLeaf();
            }
            if (leaves.isEmpty()) {
                return EMPTY;
            }
            List<Node> level = leaves;
            while (level.size() > 1) {
                List<Node> parents = new ArrayList<>();
                for (int i = 0; i < level.size(); i += FILL_NODE_ENTRIES) {
                    Node[] children =
                            level.subList(i, Math.min(level.size(), i + FILL_NODE_ENTRIES))
                                    .toArray(Node[]::new);
                    parents.add(new Branch(children, lowKeys(children)));
                }
                level = parents;
            }
            return new Index(level.get(0), size);
        }
    }
}
