package org.cranberrybend.entry.upstream;

/**
 * A process of an upstream. Its identifier and address may be used again by a successor, so statements of a process are
 * kept by this.
 *
 * @param id identifier of the upstream
 * @param startedAtMs time of its start in milliseconds since 1970
 */
record UpstreamProcess(String id, long startedAtMs) {
    static UpstreamProcess of(UpstreamRecord entry) {
        return new UpstreamProcess(entry.id(), entry.startedAtMs());
    }
}
