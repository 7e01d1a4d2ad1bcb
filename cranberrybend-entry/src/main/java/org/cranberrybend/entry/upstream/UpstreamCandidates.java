package org.cranberrybend.entry.upstream;

import java.util.Arrays;

/** Upstreams among which a choice is made. Reused for all choices of the event loop, so that a choice creates none. */
final class UpstreamCandidates {
    private static final int INITIAL_CAPACITY = 128;

    private Upstream[] upstreams = new Upstream[INITIAL_CAPACITY];
    private int size;

    void clear() {
        size = 0;
    }

    void add(Upstream upstream) {
        if (size == upstreams.length) {
            upstreams = Arrays.copyOf(upstreams, size * 2);
        }
        upstreams[size++] = upstream;
    }

    void addAll(UpstreamCandidates others) {
        for (int i = 0; i < others.size; i++) {
            add(others.upstreams[i]);
        }
    }

    int size() {
        return size;
    }

    Upstream get(int position) {
        return upstreams[position];
    }
}
