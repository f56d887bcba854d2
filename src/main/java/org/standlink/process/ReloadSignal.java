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
package org.standlink.process;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which notifies the process that its settings file has changed.
 *
 * <p>Without a handler, the JDK ends the process on this signal. The JDK's signal classes are used
 * by reflection, since the compiler warns about them; they are exported by the module {@code
 * jdk.unsupported}.
 */
public final class ReloadSignal {

    private static final EventLog LOG = EventLog.of(ReloadSignal.class);

    private ReloadSignal() {}

    /**
     * Sets the action for the signal.
     *
     * @param action is run on a thread of its own at each signal
     */
    public static void handle(Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler =
                    Proxy.newProxyInstance(
                            ReloadSignal.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            (proxy, method, arguments) -> invoke(method, arguments, action));
            Object signal = signalType.getConstructor(String.class).newInstance("HUP");
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warning("reload-signal-not-handled").with("cause", e).write();
        }
    }

    private static Object invoke(Method method, Object[] arguments, Runnable action) {
        switch (method.getName()) {
            case "handle" -> {
                action.run();
                return null;
            }
            case "equals" -> {
                return arguments[0] == action;
            }
            case "hashCode" -> {
                return action.hashCode();
            }
            default -> {
                return "reload";
            }
        }
    }
}
