package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class EventStreamSplitterTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: note\n\nid: 3\ndata: thr";

    // Guards against forwarding part of an event when the input is split at an arbitrary byte.
    @Property(tries = 200, seed = "20261204")
    void returnsOnlyCompleteEventsForAnySplitOfTheInput(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        EventStreamSplitter splitter = new EventStreamSplitter();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        int position = 0;
        for (int size : sizes) {
            int count = Math.min(size, bytes.length - position);
            complete.writeBytes(splitter.append(ByteBuffer.wrap(bytes, position, count)));
            position += count;
            String text = complete.toString(StandardCharsets.UTF_8);
            assertThat(text.isEmpty() || text.endsWith("\n\n") || text.endsWith("\r\n\r\n"))
                    .isTrue();
        }
        complete.writeBytes(splitter.append(ByteBuffer.wrap(bytes, position, bytes.length - position)));
        String text = complete.toString(StandardCharsets.UTF_8);
        assertThat(text + new String(splitter.incompleteEvent(), StandardCharsets.UTF_8))
                .isEqualTo(STREAM);
        assertThat(new String(splitter.incompleteEvent(), StandardCharsets.UTF_8))
                .isEqualTo("id: 3\ndata: thr");
        assertThat(splitter.lastEventId()).isEqualTo("2");
    }
}
