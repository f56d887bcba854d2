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
package org.standlink.port;

import java.util.List;

/**
 * The platform's list of VMs, which is updated with a delay.
 *
 * <p>The list is only a hint, as its entries may be out of date. Implementations are thread-safe.
 */
public interface VmListPort {

    /**
     * Reads the list.
     *
     * @return the VMs
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE if the platform did
     *     not accept the call
     */
    List<VmEntry> list();
}
