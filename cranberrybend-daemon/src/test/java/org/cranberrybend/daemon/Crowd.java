package org.cranberrybend.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * Untrusted callers that send traffic of one shape, all on one thread. A caller whose connection is closed connects
 * again until it has used its connections; the last one stays open until the crowd is closed.
 */
final class Crowd implements AutoCloseable {
    /** Connections that one caller opens one after the other. */
    private static final int CONNECTIONS_PER_CALLER = 3;
    /** The crowd has sent what it could if it was able to send nothing for this long. */
    private static final long STALL_MS = 300;

    private static final int MAX_STALLS = 4;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final class UntrustedCaller {
        private final InetSocketAddress address;
        private int connections;
        private int sentBytes;
        private ByteBuffer sending;

        private UntrustedCaller(int port) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        }

        private void connect() throws IOException {
            if (connections++ == CONNECTIONS_PER_CALLER) {
                return;
            }
            sentBytes = 0;
            sending = shape.next(0);
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_CONNECT, this);
            channel.connect(address);
        }

        private void advance(SelectionKey key) throws IOException {
            SocketChannel channel = (SocketChannel) key.channel();
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE | (shape.isReadingResponses() ? SelectionKey.OP_READ : 0));
            }
            if (key.isReadable() && channel.read(received.clear()) < 0) {
                throw new IOException("closed by the server");
            }
            if (key.isWritable()) {
                sentBytes += channel.write(sending);
                if (!sending.hasRemaining()) {
                    sending = shape.next(sentBytes);
                }
                if (!sending.hasRemaining()) {
                    key.interestOps(key.interestOps() & ~SelectionKey.OP_WRITE);
                }
            }
        }
    }

    private final TrafficShape shape;
    private final Selector selector = Selector.open();
    private final ByteBuffer received = ByteBuffer.allocate(64 * 1_024);

    Crowd(TrafficShape shape, List<Integer> ports, int callers) throws IOException {
        this.shape = shape;
        for (int i = 0; i < callers; i++) {
            new UntrustedCaller(ports.get(i % ports.size())).connect();
        }
    }

    /** Sends until no caller can send any more, and calls the check in between. */
    void sendAll(Runnable check) throws IOException {
        int stalls = 0;
        while (stalls < MAX_STALLS) {
            stalls = selector.select(STALL_MS) == 0 ? stalls + 1 : 0;
            for (SelectionKey key : selector.selectedKeys()) {
                advance(key);
            }
            selector.selectedKeys().clear();
            check.run();
        }
    }

    private void advance(SelectionKey key) throws IOException {
        UntrustedCaller caller = (UntrustedCaller) key.attachment();
        try {
            caller.advance(key);
        } catch (IOException e) {
            // A refused or closed connection is what an untrusted caller may get.
            key.channel().close();
            caller.connect();
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
