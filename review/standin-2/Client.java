import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client with one kept connection to an entry instance. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final BufferedInputStream in;

    Client(Daemon daemon, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(daemon.ip, daemon.front), 1_000);
        in = new BufferedInputStream(socket.getInputStream(), 8 * 1024);
    }

    void send(String start, byte[] body, String... headers) throws IOException {
        socket.getOutputStream().write(Message.format(start, body, headers));
    }

    /** Reads an answer; null if the connection ends before its head. */
    Message receive() throws IOException {
        Message answer = Message.head(in);
        if (answer != null) {
            answer.readBody(in);
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
