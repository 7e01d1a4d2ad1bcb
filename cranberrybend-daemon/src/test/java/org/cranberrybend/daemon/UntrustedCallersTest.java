package org.cranberrybend.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against callers that end, exhaust or block a process by what they send, first at the port of callers, then at
 * those of readiness, control and metrics. Each test starts a process with a small heap; the crowd and the bounds are
 * fixed. A test has no bound on times and none on the share of served requests.
 */
class UntrustedCallersTest {
    private static final int CALLERS = 48;
    /** More than the process may open descriptors. */
    private static final int MANY_CALLERS = 400;

    @TempDir
    private Path directory;

    private DaemonProcess process;
    private int peakDescriptors;

    private void check(TrafficShape shape, int callers) throws Exception {
        try (DaemonProcess started = new DaemonProcess(directory, DaemonProcess.HEAP)) {
            process = started;
            assertWithMessage("ready").that(process.awaitReady()).isTrue();
            assertWithMessage("answer before")
                    .that(process.awaitOrdinaryAnswer())
                    .isTrue();
            send(shape, process.callerPorts(), callers);
            send(shape, process.internalPorts(), callers);
            System.out.println(
                    shape + ": peak memory " + process.peakMemoryMb() + " MB, peak descriptors " + peakDescriptors);
        }
    }

    private void send(TrafficShape shape, List<Integer> ports, int callers) throws Exception {
        try (Crowd crowd = new Crowd(shape, ports, callers)) {
            crowd.sendAll(() -> peakDescriptors = Math.max(peakDescriptors, process.descriptors()));
            boolean answered = process.awaitOrdinaryAnswer();
            assertWithMessage("process is alive; log:\n%s", process.logEnd())
                    .that(process.isRunning())
                    .isTrue();
            assertWithMessage("ordinary answer").that(answered).isTrue();
        }
        assertWithMessage("ready").that(process.awaitReady()).isTrue();
        assertWithMessage("resident memory in MB").that(process.peakMemoryMb()).isLessThan(DaemonProcess.MEMORY_MB);
        assertWithMessage("descriptors").that(peakDescriptors).isLessThan(DaemonProcess.MAX_DESCRIPTORS);
    }

    @BeforeEach
    void resetPeak() {
        peakDescriptors = 0;
    }

    @Test
    void headOverTheLimit() throws Exception {
        check(TrafficShape.HEAD_OVER_THE_LIMIT, CALLERS);
    }

    @Test
    void headOfManyLines() throws Exception {
        check(TrafficShape.HEAD_OF_MANY_LINES, CALLERS);
    }

    @Test
    void headOfOneLine() throws Exception {
        check(TrafficShape.HEAD_OF_ONE_LINE, CALLERS);
    }

    @Test
    void headWithoutColons() throws Exception {
        check(TrafficShape.HEAD_WITHOUT_COLONS, CALLERS);
    }

    @Test
    void headOfFoldedLines() throws Exception {
        check(TrafficShape.HEAD_OF_FOLDED_LINES, CALLERS);
    }

    @Test
    void requestLineWithoutEnd() throws Exception {
        check(TrafficShape.REQUEST_LINE_WITHOUT_END, CALLERS);
    }

    @Test
    void emptyLinesBeforeARequest() throws Exception {
        check(TrafficShape.EMPTY_LINES_BEFORE_A_REQUEST, CALLERS);
    }

    @Test
    void emptyLinesBetweenRequests() throws Exception {
        check(TrafficShape.EMPTY_LINES_BETWEEN_REQUESTS, CALLERS);
    }

    @Test
    void chunkSizeWithoutEnd() throws Exception {
        check(TrafficShape.CHUNK_SIZE_WITHOUT_END, CALLERS);
    }

    @Test
    void chunkExtensions() throws Exception {
        check(TrafficShape.CHUNK_EXTENSIONS, CALLERS);
    }

    @Test
    void trailersWithoutEnd() throws Exception {
        check(TrafficShape.TRAILERS_WITHOUT_END, CALLERS);
    }

    @Test
    void chunkedBodyWithoutEnd() throws Exception {
        check(TrafficShape.CHUNKED_BODY_WITHOUT_END, CALLERS);
    }

    @Test
    void declaredBodyWithoutEnd() throws Exception {
        check(TrafficShape.DECLARED_BODY_WITHOUT_END, CALLERS);
    }

    @Test
    void connectionsWithoutAByte() throws Exception {
        check(TrafficShape.CONNECTIONS_WITHOUT_A_BYTE, MANY_CALLERS);
    }

    @Test
    void connectionsWithAPartOfARequestLine() throws Exception {
        check(TrafficShape.CONNECTIONS_WITH_A_PART_OF_A_REQUEST_LINE, MANY_CALLERS);
    }

    @Test
    void responsesNotRead() throws Exception {
        check(TrafficShape.RESPONSES_NOT_READ, CALLERS);
    }
}
