import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A model worker in a process of its own. Its streams have no length and end with their connection, as RULES.md allows.
 * Prints its port, and the identifier of each request that it runs and that it has finished.
 */
public final class UnframedEngine {
    static final int EVENTS = 34;
    private static final long PAUSE_MS = 60;

    private UnframedEngine() {}

    public static void main(String[] arguments) throws IOException {
        String id = arguments[0];
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        System.out.println("port " + listener.getLocalPort());
        while (true) {
            Socket socket = listener.accept();
            Threads.daemon(() -> serve(id, socket));
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            text.write(next);
            next = in.read();
        }
        return text.toString(StandardCharsets.ISO_8859_1).trim();
    }

    private static void serve(String id, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            if (line(in).isEmpty()) {
                return;
            }
            String attempt = "";
            String expected = id;
            int first = 0;
            int length = 0;
            String header = line(in);
            while (!header.isEmpty()) {
                String name = header.substring(0, header.indexOf(':')).toLowerCase(Locale.ROOT);
                String value = header.substring(header.indexOf(':') + 1).trim();
                attempt = name.equals("x-attempt-id") ? value : attempt;
                expected = name.equals("x-expect-instance") ? value : expected;
                first = name.equals("last-event-id") ? Integer.parseInt(value) : first;
                length = name.equals("content-length") ? Integer.parseInt(value) : length;
                header = line(in);
            }
            in.readNBytes(length);
            if (!expected.equals(id)) {
                write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
                        + "Connection: close\r\n\r\n");
                return;
            }
            System.out.println("run " + attempt + " after event " + first);
            write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt
                    + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            for (int event = first + 1; event <= EVENTS; event++) {
                Threads.sleepMs(PAUSE_MS);
                write(out, "id: " + event + "\ndata: token\n\n");
            }
            System.out.println("end " + attempt);
        } catch (IOException e) {
            // The router has closed the connection, so the run ends.
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
