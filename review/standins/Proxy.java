import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The path from one machine to the store, over a link of a given rate. A cut holds up all bytes, both ways, and those of new
 * connections; they go on when it ends, as packets that are sent again do.
 */
final class Proxy {

    private final ServerSocket listener;

    private final String target;

    private final Link received;

    private final Link sent;

    private boolean cut;

    /** One direction of a link, which its connections share. */
    private static final class Link {

        private final long bytesPerSecond;

        private long freeAtNanos = System.nanoTime();

        Link(long bytesPerSecond) {
            this.bytesPerSecond = bytesPerSecond;
        }

        void carry(int count) throws InterruptedException {
            long waitNanos;
            synchronized (this) {
                long now = System.nanoTime();
                long duration = (long) (1e9 * count / bytesPerSecond);
                freeAtNanos = Math.max(now, freeAtNanos) + duration;
                waitNanos = freeAtNanos - now;
            }
            Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
        }
    }

    Proxy(String target, long megabitsPerSecond) throws IOException {
        this.target = target;
        received = new Link(megabitsPerSecond * 125_000);
        sent = new Link(megabitsPerSecond * 125_000);
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        startThread(this::accept);
    }

    String getAddress() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void setCut(boolean value) {
        cut = value;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                startThread(() -> connect(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        try {
            awaitPath();
            String[] parts = target.split(":");
            Socket far = new Socket(parts[0], Integer.parseInt(parts[1]));
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            startThread(() -> copy(near, far, sent));
            copy(far, near, received);
        } catch (IOException | InterruptedException ended) {
            close(near);
        }
    }

    private void copy(Socket from, Socket to, Link link) {
        byte[] buffer = new byte[8192];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                awaitPath();
                link.carry(count);
                output.write(buffer, 0, count);
                output.flush();
            }
            awaitPath();
        } catch (IOException | InterruptedException ended) {
            // Closing both ends, below, is all there is to do.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            return;
        }
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }
}
