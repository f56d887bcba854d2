import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** What the stand-ins that are called over HTTP have in common. */
abstract class StandInServer {

    static final ObjectMapper JSON = new ObjectMapper();

    /** An answer: its status and its body. */
    record Answer(int status, byte[] body) {

        static Answer of(int status, JsonNode body) {
            try {
                return new Answer(status, JSON.writeValueAsBytes(body));
            } catch (IOException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
    }

    private final int port;

    private HttpServer server;

    StandInServer() throws IOException {
        port = findFreePort();
    }

    static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String getAddress() {
        return "127.0.0.1:" + port;
    }

    /** Begins to serve calls. */
    final synchronized void open() throws IOException {
        HttpServer opened = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
        opened.setExecutor(
                Executors.newCachedThreadPool(
                        work -> {
                            Thread thread = new Thread(work);
                            thread.setDaemon(true);
                            return thread;
                        }));
        opened.createContext("/", this::serve);
        opened.start();
        server = opened;
    }

    /** Ends all connections and accepts no more. */
    final synchronized void shut() {
        if (server != null) {
            server.stop(0);
            server = null;
        }
    }

    /** Handles a call; null closes the connection without an answer. */
    abstract Answer handle(
            String method, String path, Map<String, String> query, HttpExchange call, byte[] body)
            throws Exception;

    private void serve(HttpExchange exchange) {
        try (exchange) {
            URI uri = exchange.getRequestURI();
            byte[] body = exchange.getRequestBody().readAllBytes();
            Answer answer =
                    handle(
                            exchange.getRequestMethod(),
                            uri.getPath(),
                            parseQuery(uri.getQuery()),
                            exchange,
                            body);
            if (answer != null) {
                boolean empty = answer.body().length == 0;
                exchange.sendResponseHeaders(answer.status(), empty ? -1 : answer.body().length);
                if (!empty) {
                    exchange.getResponseBody().write(answer.body());
                }
            }
        } catch (IOException callerGone) {
            return;
        } catch (Exception failure) {
            System.err.println("stand-in failed: " + failure);
            failure.printStackTrace();
        }
    }

    private static Map<String, String> parseQuery(String query) {
        Map<String, String> values = new HashMap<>();
        if (query != null) {
            for (String part : query.split("&")) {
                String[] pair = part.split("=", 2);
                values.put(pair[0], pair.length > 1 ? pair[1] : "");
            }
        }
        return values;
    }
}
