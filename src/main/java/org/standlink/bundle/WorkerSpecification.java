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
package org.standlink.bundle;

import org.standlink.HallId;
import org.standlink.RackId;
import org.standlink.Resources;
import org.standlink.VmId;

/**
 * A worker: a VM that runs tasks.
 *
 * <p>{@code WorkerSpecification} is thread-safe and immutable.
 *
 * @param vm the VM
 * @param address host and port of its agent
 * @param hall its hall
 * @param rack its rack
 * @param capacity the resources of the VM
 */
public record WorkerSpecification(
        VmId vm, String address, HallId hall, RackId rack, Resources capacity) {}
