package org.cranberrybend.entry.fleet;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cranberrybend.entry.fleet.SourceSelector.Source;
import org.cranberrybend.entry.port.StoreException;

/**
 * Reads from the sources that a {@link SourceSelector} names, one after the other, until one of them has what is read.
 *
 * <p>An instance that has lost the store says so at once, but one that is unresponsive takes its time. The store is
 * therefore asked after the first of these, so that several of them do not add up. Confined to the event loop.
 */
final class SourceReader {
    /** Sources that are asked before the store is. */
    private static final int MAX_SOURCES = 16;

    private final SourceSelector sources;

    SourceReader(SourceSelector sources) {
        this.sources = sources;
    }

    /** Reads the same from an instance or from the store; fails with a {@link StoreException}. */
    interface Read<T> {
        /** Reads from an instance, and lets the selector leave it out if that fails. */
        CompletableFuture<T> fromInstance(InetSocketAddress address);

        /**
         * Reads from the store.
         *
         * @param isFirst whether no instance has been asked before
         */
        CompletableFuture<T> fromStore(boolean isFirst);
    }

    /**
     * Reads from the first source that succeeds. A failure with {@link StoreException.Kind#HISTORY_LOST} is that of the
     * source which has the changes, so it ends the read. If no source succeeds, the failure is that of the store, if it was
     * asked.
     */
    <T> CompletableFuture<T> read(Read<T> read) {
        StoreException nothingAsked = new StoreException(StoreException.Kind.NOT_DONE, "no source is left");
        return readFromNext(read, sources.next(Set.of()), new HashSet<>(), nothingAsked);
    }

    private <T> CompletableFuture<T> readFromNext(
            Read<T> read, Optional<Source> next, Set<Source> tried, Throwable reported) {
        if (next.isEmpty()) {
            return CompletableFuture.failedFuture(reported);
        }
        Source source = next.get();
        boolean isFirst = tried.isEmpty();
        tried.add(source);
        CompletableFuture<T> call = source.instance().map(read::fromInstance).orElseGet(() -> read.fromStore(isFirst));
        return call.handle((value, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(value);
                    }
                    StoreException.Kind kind = StoreException.kindOf(failure);
                    if (kind == StoreException.Kind.HISTORY_LOST) {
                        return CompletableFuture.<T>failedFuture(failure);
                    }
                    if (source.isStore()) {
                        sources.pauseStore();
                    }
                    boolean replaces = source.isStore() || !tried.contains(Source.STORE);
                    return readFromNext(read, following(source, kind, tried), tried, replaces ? failure : reported);
                })
                .thenCompose(each -> each);
    }

    private Optional<Source> following(Source failed, StoreException.Kind kind, Set<Source> tried) {
        boolean isUnresponsiveInstance = !failed.isStore() && kind == StoreException.Kind.UNKNOWN;
        return isUnresponsiveInstance || tried.size() >= MAX_SOURCES
                ? SourceSelector.storeUnless(tried)
                : sources.next(tried);
    }
}
