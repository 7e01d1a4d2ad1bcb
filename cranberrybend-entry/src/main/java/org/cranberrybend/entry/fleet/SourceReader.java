package org.cranberrybend.entry.fleet;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.entry.fleet.SourceSelector.Source;
import org.cranberrybend.entry.port.StoreException;

/**
 * Reads from the sources that a {@link SourceSelector} names, one after the other, until one of them has what is read.
 *
 * <p>Before an instance turns to the store because those before it have lost it, it waits and asks them again. The first of
 * them that reaches the store then reads from it, and the others follow that one.
 *
 * <p>An instance that has lost the store says so at once, but one that is unresponsive takes its time. The store is
 * therefore asked after the first of these, so that several of them do not add up. Confined to the event loop.
 */
final class SourceReader {
    /** Sources that are asked before the store is. */
    private static final int MAX_SOURCES = 16;

    private final SourceSelector sources;
    private final ScheduledExecutorService loop;

    SourceReader(SourceSelector sources, ScheduledExecutorService loop) {
        this.sources = sources;
        this.loop = loop;
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

        /** Returns whether the store was the source of the last successful read of the same keys. */
        boolean wasFromStore();
    }

    /** A read in progress. */
    private static final class Progress<T> {
        private final Read<T> read;
        private final Set<Source> tried = new HashSet<>();
        private Throwable reported = new StoreException(StoreException.Kind.NOT_DONE, "no source is left");
        /** Whether the instances before this one have had time to begin to read from the store. */
        private boolean hasWaited;

        Progress(Read<T> read) {
            this.read = read;
            hasWaited = read.wasFromStore();
        }

        void fail(Source source, Throwable failure) {
            if (source.isStore() || !tried.contains(Source.STORE)) {
                reported = failure;
            }
        }
    }

    /**
     * Reads from the first source that succeeds. A failure with {@link StoreException.Kind#HISTORY_LOST} is that of the
     * source which has the changes, so it ends the read. If no source succeeds, the failure is that of the store, if it was
     * asked.
     */
    <T> CompletableFuture<T> read(Read<T> read) {
        return readFrom(sources.next(Set.of()), new Progress<>(read));
    }

    private <T> CompletableFuture<T> readFrom(Optional<Source> next, Progress<T> progress) {
        if (next.isEmpty()) {
            return CompletableFuture.failedFuture(progress.reported);
        }
        Source source = next.get();
        if (source.isStore() && !progress.hasWaited && sources.storeDelayMs() > 0) {
            return readLater(progress);
        }
        boolean isFirst = progress.tried.isEmpty();
        progress.tried.add(source);
        CompletableFuture<T> call =
                source.instance().map(progress.read::fromInstance).orElseGet(() -> progress.read.fromStore(isFirst));
        return call.handle((value, failure) -> failure == null
                        ? CompletableFuture.completedFuture(value)
                        : readAfterFailure(source, failure, progress))
                .thenCompose(each -> each);
    }

    private <T> CompletableFuture<T> readAfterFailure(Source source, Throwable failure, Progress<T> progress) {
        StoreException.Kind kind = StoreException.kindOf(failure);
        if (kind == StoreException.Kind.HISTORY_LOST) {
            return CompletableFuture.failedFuture(failure);
        }
        progress.fail(source, failure);
        if (!source.isStore() && kind == StoreException.Kind.UNKNOWN) {
            return readFrom(SourceSelector.storeUnless(progress.tried), progress);
        }
        boolean mayAskMore = progress.tried.size() < MAX_SOURCES;
        return readFrom(mayAskMore ? sources.next(progress.tried) : sources.storeIfDue(progress.tried), progress);
    }

    /**
     * Asks the instances before this one once more, after a delay. Otherwise the followers of a leader that has lost the
     * store would all read from the store at the same moment, and none of them would find another one that does.
     */
    private <T> CompletableFuture<T> readLater(Progress<T> progress) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.schedule(
                () -> {
                    progress.hasWaited = true;
                    progress.tried.clear();
                    sources.resumeRefusing();
                    readFrom(sources.next(progress.tried), progress).whenComplete((value, failure) -> {
                        if (failure == null) {
                            result.complete(value);
                        } else {
                            result.completeExceptionally(failure);
                        }
                    });
                },
                sources.storeDelayMs(),
                TimeUnit.MILLISECONDS);
        return result;
    }
}
