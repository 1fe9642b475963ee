package saltstage.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/**
 * Ordered keys to where their values stand: a tree that is never changed. A change gives a new tree
 * that shares all but the path to it, so a reader of an old one is never in a writer's way. Leaves
 * pack their keys into one array: an object a key would cost more than the key.
 */
final class Index {
    static final Index EMPTY = new Index(null, 0);

    private static final int MOST = 64;
    private static final int FEW = 16;
    private static final int FILL = 56; // of MOST where entries come in order

    /** Where a key's entry stands, its version, and the length of its value. */
    record Place(long at, long version, int valueLength) {
        static long at(long segment, long offset) {
            return segment << 32 | offset;
        }

        long segment() {
            return at >>> 32;
        }

        long offset() {
            return at & 0xffff_ffffL;
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

    Place find(byte[] key) {
        Node node = root;
        while (node instanceof Branch branch) {
            node = branch.children[branch.child(key)];
        }
        if (!(node instanceof Leaf leaf)) {
            return null;
        }
        int i = leaf.search(key);
        return i < 0 ? null : leaf.place(i);
    }

    Index put(byte[] key, Place place) {
        if (root == null) {
            return new Index(Leaf.of(key, place), 1);
        }
        boolean there = find(key) != null;
        Node[] halves = root.put(key, place);
        Node top = halves.length == 1 ? halves[0] : new Branch(halves, lows(halves));
        return new Index(top, there ? size : size + 1);
    }

    Index delete(byte[] key) {
        if (find(key) == null) {
            return this;
        }
        Node left = root.delete(key);
        while (left instanceof Branch branch && branch.children.length == 1) {
            left = branch.children[0];
        }
        return new Index(left, size - 1);
    }

    private static byte[][] lows(Node[] children) {
        byte[][] lows = new byte[children.length][];
        for (int i = 0; i < lows.length; i++) {
            lows[i] = children[i].low();
        }
        return lows;
    }

    /** A node; its low key is no greater than any below it. */
    private abstract static class Node {
        abstract byte[] low();

        abstract int count();

        /** The node with the key in it, or its two halves. */
        abstract Node[] put(byte[] key, Place place);

        /** The node without a key that is in it; null where it was the last. */
        abstract Node delete(byte[] key);
    }

    private static final class Leaf extends Node {
        private final byte[] keys;
        private final int[] ends;
        private final long[] at;
        private final long[] version;
        private final int[] length;

        Leaf(byte[] keys, int[] ends, long[] at, long[] version, int[] length) {
            this.keys = keys;
            this.ends = ends;
            this.at = at;
            this.version = version;
            this.length = length;
        }

        static Leaf of(byte[] key, Place place) {
            return new Leaf(
                    key.clone(),
                    new int[] {key.length},
                    new long[] {place.at()},
                    new long[] {place.version()},
                    new int[] {place.valueLength()});
        }

        private int start(int i) {
            return i == 0 ? 0 : ends[i - 1];
        }

        byte[] key(int i) {
            return Arrays.copyOfRange(keys, start(i), ends[i]);
        }

        Place place(int i) {
            return new Place(at[i], version[i], length[i]);
        }

        /** The place of the key, or where it would go as a negative number. */
        int search(byte[] key) {
            int low = 0;
            int high = ends.length - 1;
            while (low <= high) {
                int middle = (low + high) >>> 1;
                int order =
                        Arrays.compareUnsigned(
                                keys, start(middle), ends[middle], key, 0, key.length);
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
        byte[] low() {
            return key(0);
        }

        @Override
        int count() {
            return ends.length;
        }

        @Override
        Node[] put(byte[] key, Place place) {
            int i = search(key);
            if (i >= 0) {
                long[] newAt = at.clone();
                long[] newVersion = version.clone();
                int[] newLength = length.clone();
                newAt[i] = place.at();
                newVersion[i] = place.version();
                newLength[i] = place.valueLength();
                return new Node[] {new Leaf(keys, ends, newAt, newVersion, newLength)};
            }
            int to = -i - 1;
            Leaf whole = insert(to, key, place);
            if (whole.count() <= MOST) {
                return new Node[] {whole};
            }
            // keys in order leave full leaves behind
            int split = to == ends.length ? FILL : whole.count() / 2;
            return new Node[] {whole.part(0, split), whole.part(split, whole.count())};
        }

        private Leaf insert(int to, byte[] key, Place place) {
            int n = ends.length;
            int from = start(to);
            byte[] newKeys = new byte[keys.length + key.length];
            System.arraycopy(keys, 0, newKeys, 0, from);
            System.arraycopy(key, 0, newKeys, from, key.length);
            System.arraycopy(keys, from, newKeys, from + key.length, keys.length - from);
            int[] newEnds = new int[n + 1];
            System.arraycopy(ends, 0, newEnds, 0, to);
            newEnds[to] = from + key.length;
            for (int j = to; j < n; j++) {
                newEnds[j + 1] = ends[j] + key.length;
            }
            return new Leaf(
                    newKeys,
                    newEnds,
                    with(at, to, place.at()),
                    with(version, to, place.version()),
                    with(length, to, place.valueLength()));
        }

        private static long[] with(long[] all, int to, long value) {
            long[] more = new long[all.length + 1];
            System.arraycopy(all, 0, more, 0, to);
            more[to] = value;
            System.arraycopy(all, to, more, to + 1, all.length - to);
            return more;
        }

        private static int[] with(int[] all, int to, int value) {
            int[] more = new int[all.length + 1];
            System.arraycopy(all, 0, more, 0, to);
            more[to] = value;
            System.arraycopy(all, to, more, to + 1, all.length - to);
            return more;
        }

        private Leaf part(int from, int to) {
            int shift = start(from);
            int[] newEnds = new int[to - from];
            for (int i = from; i < to; i++) {
                newEnds[i - from] = ends[i] - shift;
            }
            return new Leaf(
                    Arrays.copyOfRange(keys, shift, ends[to - 1]),
                    newEnds,
                    Arrays.copyOfRange(at, from, to),
                    Arrays.copyOfRange(version, from, to),
                    Arrays.copyOfRange(length, from, to));
        }

        Leaf join(Leaf right) {
            int n = ends.length;
            int[] newEnds = Arrays.copyOf(ends, n + right.ends.length);
            for (int i = 0; i < right.ends.length; i++) {
                newEnds[n + i] = keys.length + right.ends[i];
            }
            byte[] newKeys = Arrays.copyOf(keys, keys.length + right.keys.length);
            System.arraycopy(right.keys, 0, newKeys, keys.length, right.keys.length);
            return new Leaf(
                    newKeys,
                    newEnds,
                    both(at, right.at),
                    both(version, right.version),
                    both(length, right.length));
        }

        private static long[] both(long[] a, long[] b) {
            long[] all = Arrays.copyOf(a, a.length + b.length);
            System.arraycopy(b, 0, all, a.length, b.length);
            return all;
        }

        private static int[] both(int[] a, int[] b) {
            int[] all = Arrays.copyOf(a, a.length + b.length);
            System.arraycopy(b, 0, all, a.length, b.length);
            return all;
        }

        @Override
        Node delete(byte[] key) {
            int i = search(key);
            if (ends.length == 1) {
                return null;
            }
            if (i == 0) {
                return part(1, ends.length);
            }
            return i == ends.length - 1 ? part(0, i) : part(0, i).join(part(i + 1, ends.length));
        }
    }

    private static final class Branch extends Node {
        private final Node[] children;
        private final byte[][] lows;

        Branch(Node[] children, byte[][] lows) {
            this.children = children;
            this.lows = lows;
        }

        int child(byte[] key) {
            int low = 1;
            int high = children.length - 1;
            while (low <= high) {
                int middle = (low + high) >>> 1;
                if (Arrays.compareUnsigned(lows[middle], key) <= 0) {
                    low = middle + 1;
                } else {
                    high = middle - 1;
                }
            }
            return high;
        }

        @Override
        byte[] low() {
            return lows[0];
        }

        @Override
        int count() {
            return children.length;
        }

        @Override
        Node[] put(byte[] key, Place place) {
            int i = child(key);
            Node[] halves = children[i].put(key, place);
            if (halves.length == 1) {
                Node[] changed = children.clone();
                changed[i] = halves[0];
                return new Node[] {new Branch(changed, lows)};
            }
            int n = children.length;
            Node[] more = Arrays.copyOf(children, n + 1);
            byte[][] moreLows = Arrays.copyOf(lows, n + 1);
            System.arraycopy(children, i + 1, more, i + 2, n - i - 1);
            System.arraycopy(lows, i + 1, moreLows, i + 2, n - i - 1);
            more[i] = halves[0];
            more[i + 1] = halves[1];
            moreLows[i + 1] = halves[1].low();
            if (n + 1 <= MOST) {
                return new Node[] {new Branch(more, moreLows)};
            }
            int split = i == n - 1 ? FILL : (n + 1) / 2;
            return new Node[] {part(more, moreLows, 0, split), part(more, moreLows, split, n + 1)};
        }

        private static Branch part(Node[] children, byte[][] lows, int from, int to) {
            return new Branch(
                    Arrays.copyOfRange(children, from, to), Arrays.copyOfRange(lows, from, to));
        }

        @Override
        Node delete(byte[] key) {
            int i = child(key);
            Node left = children[i].delete(key);
            if (left == null) {
                return children.length == 1 ? null : without(i);
            }
            Node[] changed = children.clone();
            changed[i] = left;
            Branch same = new Branch(changed, lows);
            if (left.count() >= FEW || changed.length == 1) {
                return same;
            }
            int first = i == 0 ? 0 : i - 1;
            return same.merged(first);
        }

        private Branch without(int i) {
            int n = children.length;
            Node[] fewer = Arrays.copyOf(children, n - 1);
            byte[][] fewerLows = Arrays.copyOf(lows, n - 1);
            System.arraycopy(children, i + 1, fewer, i, n - i - 1);
            System.arraycopy(lows, i + 1, fewerLows, i, n - i - 1);
            return new Branch(fewer, fewerLows);
        }

        /** This node with two neighbours in one, where they fit well. */
        private Branch merged(int first) {
            Node a = children[first];
            Node b = children[first + 1];
            if (a.count() + b.count() > FILL) {
                return this;
            }
            Node one =
                    a instanceof Leaf left
                            ? left.join((Leaf) b)
                            : join((Branch) a, (Branch) b, first);
            Branch fewer = without(first + 1);
            fewer.children[first] = one; // its own copy, seen by nobody yet
            return fewer;
        }

        private Branch join(Branch a, Branch b, int first) {
            int n = a.children.length;
            Node[] all = Arrays.copyOf(a.children, n + b.children.length);
            byte[][] allLows = Arrays.copyOf(a.lows, n + b.children.length);
            System.arraycopy(b.children, 0, all, n, b.children.length);
            System.arraycopy(b.lows, 0, allLows, n, b.children.length);
            allLows[n] = lows[first + 1]; // the low of b that this node has searched by
            return new Branch(all, allLows);
        }
    }

    /** Walks the keys from one on, in order. */
    static final class Cursor {
        private final Deque<Branch> branches = new ArrayDeque<>();
        private final Deque<Integer> next = new ArrayDeque<>();
        private Leaf leaf;
        private int at;

        private Cursor(Index index, byte[] from) {
            Node node = index.root;
            while (node instanceof Branch branch) {
                int child = from == null ? 0 : branch.child(from);
                branches.push(branch);
                next.push(child + 1);
                node = branch.children[child];
            }
            leaf = (Leaf) node;
            int found = leaf == null || from == null ? 0 : leaf.search(from);
            at = (found < 0 ? -found - 1 : found) - 1;
        }

        /** Goes to the next key; false at the end. */
        boolean advance() {
            if (leaf == null) {
                return false;
            }
            at++;
            while (at >= leaf.count()) {
                while (!branches.isEmpty() && next.peek() >= branches.peek().children.length) {
                    branches.pop();
                    next.pop();
                }
                if (branches.isEmpty()) {
                    leaf = null;
                    return false;
                }
                int child = next.pop();
                next.push(child + 1);
                descend(branches.peek().children[child]);
            }
            return true;
        }

        private void descend(Node from) {
            Node node = from;
            while (node instanceof Branch branch) {
                branches.push(branch);
                next.push(1);
                node = branch.children[0];
            }
            leaf = (Leaf) node;
            at = 0;
        }

        byte[] key() {
            return leaf.key(at);
        }

        Place place() {
            return leaf.place(at);
        }
    }

    /** A walk from this key on; null: from the first. */
    Cursor cursor(byte[] from) {
        return new Cursor(this, from);
    }

    /** Builds an index from entries that come in order of their keys. */
    static final class Builder {
        private final List<Node> leaves = new ArrayList<>();
        private final List<byte[]> keys = new ArrayList<>();
        private final List<Place> places = new ArrayList<>();
        private byte[] last;
        private long size;

        /** Takes the next; false where it does not come after the one before. */
        boolean add(byte[] key, Place place) {
            if (last != null && Arrays.compareUnsigned(last, key) >= 0) {
                return false;
            }
            last = key;
            keys.add(key);
            places.add(place);
            size++;
            if (keys.size() == FILL) {
                flush();
            }
            return true;
        }

        private void flush() {
            int n = keys.size();
            int bytes = keys.stream().mapToInt(k -> k.length).sum();
            byte[] packed = new byte[bytes];
            int[] ends = new int[n];
            long[] at = new long[n];
            long[] version = new long[n];
            int[] length = new int[n];
            int end = 0;
            for (int i = 0; i < n; i++) {
                System.arraycopy(keys.get(i), 0, packed, end, keys.get(i).length);
                end += keys.get(i).length;
                ends[i] = end;
                at[i] = places.get(i).at();
                version[i] = places.get(i).version();
                length[i] = places.get(i).valueLength();
            }
            leaves.add(new Leaf(packed, ends, at, version, length));
            keys.clear();
            places.clear();
        }

        Index build() {
            if (!keys.isEmpty()) {
                flush();
            }
            if (leaves.isEmpty()) {
                return EMPTY;
            }
            List<Node> level = leaves;
            while (level.size() > 1) {
                List<Node> above = new ArrayList<>();
                for (int i = 0; i < level.size(); i += FILL) {
                    Node[] children =
                            level.subList(i, Math.min(level.size(), i + FILL)).toArray(Node[]::new);
                    above.add(new Branch(children, lows(children)));
                }
                level = above;
            }
            return new Index(level.get(0), size);
        }
    }
}
