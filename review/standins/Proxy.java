import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The path from one machine to the store. A cut holds up all bytes, both ways, and those of new
 * connections; they go on when it ends, as packets that are sent again do.
 */
final class Proxy {

    private final ServerSocket listener;

    private final String target;

    private boolean cut;

    Proxy(String target) throws IOException {
        this.target = target;
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
            startThread(() -> copy(near, far));
            copy(far, near);
        } catch (IOException | InterruptedException ended) {
            close(near);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                awaitPath();
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
