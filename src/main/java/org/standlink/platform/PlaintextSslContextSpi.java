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
 * A TLS context for a client that makes plain connections only. The JDK's client wants one; making
 * one of the JDK's reads providers, ciphers and curves, which takes a tenth of a start.
 */
final class PlaintextSslContextSpi extends SSLContextSpi {

    /** No instances but the one behind the context. */
    private PlaintextSslContextSpi() {}

    /** A provider of nothing. */
    private static final class NoProvider extends Provider {

        private static final long serialVersionUID = 1L;

        NoProvider() {
            super("standlink-plain", "1", "connections without TLS");
        }
    }

    /** The context; its constructor is open to subclasses only. */
    private static final class PlainContext extends SSLContext {

        PlainContext() {
            super(new PlaintextSslContextSpi(), new NoProvider(), "none");
        }
    }

    /**
     * Makes the context.
     *
     * @return a context that refuses to encrypt
     */
    static SSLContext newContext() {
        return new PlainContext();
    }

    @Override
    protected void engineInit(KeyManager[] keys, TrustManager[] trust, SecureRandom random)
            throws KeyManagementException {
        throw new KeyManagementException("this context makes plain connections only");
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
        return new UnsupportedOperationException("calls of the platform are plain HTTP");
    }
}
