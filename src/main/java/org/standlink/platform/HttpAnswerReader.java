/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.platform;

import java.io.EOFException;
import java.io.IOException;
import java.util.Arrays;

/**
 * Reads one answer from a connection, in the format of RFC 9112: with a length, in chunks or up to
 * the end of the connection.
 *
 * <p>{@code HttpAnswerReader} is not thread-safe.
 */
final class HttpAnswerReader {

    /**
     * The maximum length of a body, in bytes: a quarter of the heap of an agent, since an answer is
     * decoded into further copies.
     */
    static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** The maximum length of a line of the head, in characters; the usual limit of servers. */
    private static final int MAX_LINE_CHARACTERS = 8192;

    /** The maximum number of headers; the usual limit of servers. */
    private static final int MAX_HEADERS = 200;

    /**
     * The maximum memory that is allocated before a part of the body has arrived, in bytes, so that
     * a wrong length does not exhaust the heap.
     */
    private static final int FIRST_ALLOCATION_BYTES = 65_536;

    /** The length of a body that ends with the connection. */
    private static final long UNTIL_CLOSED = -1;

    private static final byte[] NO_BODY = {};

    private final HttpConnection connection;

    private int status;

    /** The value of the header Content-Length. */
    private long contentLength;

    private boolean chunked;

    /** Whether the peer keeps the connection open after the answer. */
    private boolean persistent;

    private byte[] body = NO_BODY;

    /** The number of bytes of the body that were read. */
    private int bodyLength;

    /**
     * Creates a reader.
     *
     * @param connection the connection, over which the request was sent
     */
    HttpAnswerReader(HttpConnection connection) {
        this.connection = connection;
    }

    /**
     * Reads the answer.
     *
     * @return the body
     * @throws IOException if the connection fails or the answer is malformed or too long
     */
    byte[] readAnswer() throws IOException {
        readHead();
        while (status >= 100 && status < 200) {
            // An interim answer, which another one follows.
            readHead();
        }
        if (status == 204 || status == 304) {
            return body;
        }
        if (chunked) {
            readChunks();
        } else if (contentLength == UNTIL_CLOSED) {
            persistent = false;
            readUntilClosed();
        } else {
            readBytes(contentLength, contentLength);
        }
        return bodyLength == body.length ? body : Arrays.copyOf(body, bodyLength);
    }

    /**
     * Gets the status.
     *
     * @return the HTTP status
     */
    int getStatus() {
        return status;
    }

    /**
     * Checks whether another request can be sent over the connection after the answer was read.
     *
     * @return true if the peer keeps it open and has sent nothing after the answer
     */
    boolean isConnectionReusable() {
        return persistent && !connection.hasUnreadBytes();
    }

    // -----------------------------------------------------------------------
    private void readHead() throws IOException {
        String line = readLine();
        if (line.length() < 12 || !line.startsWith("HTTP/1.") || line.charAt(8) != ' ') {
            throw malformed("status line", line);
        }
        status = (int) parse(line.substring(9, 12), 10);
        persistent = line.charAt(7) == '1';
        chunked = false;
        contentLength = UNTIL_CLOSED;
        readHeaders();
    }

    private void readHeaders() throws IOException {
        int count = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            count++;
            int colon = line.indexOf(':');
            if (colon <= 0 || count > MAX_HEADERS) {
                throw malformed("header", line);
            }
            readHeader(line.substring(0, colon), line.substring(colon + 1).trim());
        }
    }

    private void readHeader(String name, String value) throws IOException {
        if (name.equalsIgnoreCase("Content-Length")) {
            long length = parse(value, 10);
            if (contentLength != UNTIL_CLOSED && contentLength != length) {
                throw malformed("second content length", value);
            }
            contentLength = length;
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            if (!value.equalsIgnoreCase("chunked")) {
                throw malformed("transfer encoding", value);
            }
            chunked = true;
        } else if (name.equalsIgnoreCase("Connection") && hasOption(value, "close")) {
            persistent = false;
        }
    }

    private static boolean hasOption(String list, String option) {
        for (String element : list.split(",")) {
            if (element.trim().equalsIgnoreCase(option)) {
                return true;
            }
        }
        return false;
    }

    private void readChunks() throws IOException {
        long length = readChunkLength();
        while (length > 0) {
            readBytes(length, MAX_BODY_BYTES);
            if (!readLine().isEmpty()) {
                throw malformed("end of a chunk", "");
            }
            length = readChunkLength();
        }
        // What follows the last chunk has the format of headers, but none of their meaning.
        int count = 0;
        while (!readLine().isEmpty()) {
            count++;
            if (count > MAX_HEADERS) {
                throw malformed("trailer", "");
            }
        }
    }

    private long readChunkLength() throws IOException {
        String line = readLine();
        int extension = line.indexOf(';');
        return parse((extension < 0 ? line : line.substring(0, extension)).trim(), 16);
    }

    private void readBytes(long length, long maxBodyLength) throws IOException {
        if (length > MAX_BODY_BYTES - bodyLength) {
            throw tooLong();
        }
        int end = bodyLength + (int) length;
        while (bodyLength < end) {
            ensureRoom(maxBodyLength);
            int count = connection.read(body, bodyLength, Math.min(end, body.length) - bodyLength);
            if (count < 0) {
                throw new EOFException("the peer has closed the connection within the answer");
            }
            bodyLength += count;
        }
    }

    private void readUntilClosed() throws IOException {
        ensureRoom(MAX_BODY_BYTES);
        int count = connection.read(body, bodyLength, body.length - bodyLength);
        while (count >= 0) {
            bodyLength += count;
            if (bodyLength == MAX_BODY_BYTES) {
                throw tooLong();
            }
            ensureRoom(MAX_BODY_BYTES);
            count = connection.read(body, bodyLength, body.length - bodyLength);
        }
    }

    /** Enlarges a full array to twice its size, but not beyond the maximum length of the body. */
    private void ensureRoom(long maxBodyLength) {
        if (bodyLength == body.length) {
            int size = Math.max(FIRST_ALLOCATION_BYTES, 2 * body.length);
            body = Arrays.copyOf(body, (int) Math.min(maxBodyLength, size));
        }
    }

    /** Reads a line of ASCII characters, without its end. */
    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder(64);
        for (int next = connection.read(); next != '\n'; next = connection.read()) {
            if (line.length() == MAX_LINE_CHARACTERS) {
                throw malformed("line", line.substring(0, 64));
            }
            line.append((char) next);
        }
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
    }

    private static long parse(String digits, int radix) throws IOException {
        // Long.parseLong accepts a sign, the protocol does not.
        boolean signed = digits.startsWith("+") || digits.startsWith("-");
        try {
            if (!signed) {
                return Long.parseLong(digits, radix);
            }
        } catch (NumberFormatException failure) {
            throw malformed("number", digits);
        }
        throw malformed("number", digits);
    }

    private static IOException malformed(String part, String text) {
        return new IOException("malformed answer: " + part + " '" + text + "'");
    }

    private static IOException tooLong() {
        return new IOException("the answer is longer than " + MAX_BODY_BYTES + " bytes");
    }
}
