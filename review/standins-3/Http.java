import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Small helpers for HTTP servers and calls on loopback addresses. */
final class Http {

    static final ObjectMapper MAPPER = new ObjectMapper();

    /** An answer; the status is negative if no answer came. */
    record Answer(int status, String body) {

        JsonNode json() {
            try {
                return MAPPER.readTree(body);
            } catch (IOException malformed) {
                return MAPPER.createObjectNode();
            }
        }
    }

    private Http() {}

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static HttpServer newServer(int port) throws IOException {
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        work -> {
                            Thread thread = new Thread(work);
                            thread.setDaemon(true);
                            return thread;
                        }));
        return server;
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String part : query.split("&")) {
                int equals = part.indexOf('=');
                values.put(
                        part.substring(0, equals),
                        java.net.URLDecoder.decode(
                                part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    static void answer(HttpExchange exchange, int status, String type, byte[] body)
            throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(body);
            }
        }
        exchange.close();
    }

    static void answerJson(HttpExchange exchange, int status, JsonNode body) throws IOException {
        answer(exchange, status, "application/json", MAPPER.writeValueAsBytes(body));
    }

    /** Makes a call over a connection of its own. */
    static Answer call(
            String method, String address, String path, String host, String body, int timeout) {
        try (java.net.Socket socket = new java.net.Socket()) {
            String[] parts = address.split(":");
            socket.connect(
                    new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeout);
            socket.setSoTimeout(timeout);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
            head.append("Host: ").append(host).append("\r\n");
            head.append("X-Deadline-Ms: ").append(timeout).append("\r\n");
            head.append("Connection: close\r\n");
            if (body != null) {
                head.append("Content-Type: application/json\r\n");
            }
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            byte[] headBytes = head.toString().getBytes(StandardCharsets.US_ASCII);
            byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + bytes.length);
            System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
            out.write(all);
            out.flush();
            InputStream in = socket.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return new Answer(-1, "");
            }
            int status = Integer.parseInt(text.substring(9, 12));
            return new Answer(status, text.substring(end + 4));
        } catch (IOException | RuntimeException noAnswer) {
            return new Answer(-1, noAnswer.toString());
        }
    }
}
