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

import java.security.KeyManagementException;
import java.security.Provider;
import java.security.SecureRandom;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/**
 * An SSL context for a client that opens plaintext connections only. The JDK's HTTP client requires
 * a context, and creating one of the JDK's loads providers, ciphers and curves, which takes a tenth
 * of the start-up time.
 *
 * <p>{@code PlaintextSslContextSpi} is thread-safe and immutable.
 */
final class PlaintextSslContextSpi extends SSLContextSpi {

    private PlaintextSslContextSpi() {}

    /** A provider without any algorithms. */
    private static final class EmptyProvider extends Provider {

        private static final long serialVersionUID = 1L;

        EmptyProvider() {
            super("standlink-plain", "1", "connections without TLS");
        }
    }

    /** The context; the constructor of the superclass is protected. */
    private static final class PlaintextSslContext extends SSLContext {

        PlaintextSslContext() {
            super(new PlaintextSslContextSpi(), new EmptyProvider(), "none");
        }
    }

    /**
     * Creates the context.
     *
     * @return a context that does not support TLS
     */
    static SSLContext newContext() {
        return new PlaintextSslContext();
    }

    @Override
    protected void engineInit(KeyManager[] keys, TrustManager[] trust, SecureRandom random)
            throws KeyManagementException {
        throw new KeyManagementException("this context supports plaintext connections only");
    }

    @Override
    protected SSLSocketFactory engineGetSocketFactory() {
        throw unsupported();
    }

    @Override
    protected SSLServerSocketFactory engineGetServerSocketFactory() {
        throw unsupported();
    }

    @Override
    protected SSLEngine engineCreateSSLEngine() {
        throw unsupported();
    }

    @Override
    protected SSLEngine engineCreateSSLEngine(String host, int port) {
        throw unsupported();
    }

    @Override
    protected SSLSessionContext engineGetServerSessionContext() {
        return null;
    }

    @Override
    protected SSLSessionContext engineGetClientSessionContext() {
        return null;
    }

    @Override
    protected SSLParameters engineGetDefaultSSLParameters() {
        return new SSLParameters();
    }

    @Override
    protected SSLParameters engineGetSupportedSSLParameters() {
        return new SSLParameters();
    }

    private static UnsupportedOperationException unsupported() {
        return new UnsupportedOperationException("calls to the platform use plaintext HTTP");
    }
}
