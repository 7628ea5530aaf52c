package spurroad.testbed.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Calls the admin server of a proxy's process. Thread-safe.
 *
 * @param port the port of the admin server
 */
record AdminClient(int port) {
    private static final int TIMEOUT_MS = 1_500;
    private static final int OK = 200;

    boolean isReady() {
        return isOk("GET", "/healthcheck");
    }

    /** Administratively drains a cache node; returns whether the proxy confirmed that. */
    boolean drain(String node) {
        return isOk("POST", "/cache-nodes/" + node + "/maint");
    }

    /** Ends the administrative drain of a cache node; returns whether the proxy confirmed that. */
    boolean undrain(String node) {
        return isOk("POST", "/cache-nodes/" + node + "/ready");
    }

    private boolean isOk(String method, String path) {
        try (Socket socket = connect()) {
            Sockets.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
            String statusLine = Sockets.readLine(socket.getInputStream());
            return statusLine != null && Integer.parseInt(statusLine.split(" ")[1]) == OK;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the proxy's counters; empty if there was no response. */
    String stats() {
        try (Socket socket = connect()) {
            Sockets.write(socket.getOutputStream(), "GET /stats HTTP/1.1\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    private Socket connect() throws IOException {
        Socket socket = Sockets.connect(port);
        try {
            socket.setSoTimeout(TIMEOUT_MS);
            return socket;
        } catch (IOException e) {
            Sockets.close(socket);
            throw e;
        }
    }
}
