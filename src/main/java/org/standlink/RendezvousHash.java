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
package org.standlink;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Rendezvous hashing (also known as highest random weight hashing) of keys to VMs.
 *
 * <p>Every process computes the same order of VMs for a key, and a change of the list reassigns
 * only the keys of the VM that was added or removed.
 *
 * <p>{@code RendezvousHash} is thread-safe and immutable.
 */
public final class RendezvousHash {

    /** A multiplier that distributes the bits of a checksum over a long. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /**
     * Orders VMs for a key.
     *
     * @param key the key
     * @param vms the VMs
     * @return the VMs, in ascending order of weight; the first is the key's home
     */
    public static List<VmId> order(String key, List<VmId> vms) {
        Comparator<VmId> byWeight = Comparator.comparingLong(vm -> weight(key, vm));
        return vms.stream().sorted(byWeight.thenComparing(VmId::toString)).toList();
    }

    /**
     * Gets the home of a key, the first VM in its order.
     *
     * @param key the key
     * @param vms the VMs, not empty
     * @return the VM
     */
    public static VmId home(String key, List<VmId> vms) {
        return order(key, vms).get(0);
    }

    private static long weight(String key, VmId vm) {
        CRC32 checksum = new CRC32();
        checksum.update((key + '\n' + vm).getBytes(StandardCharsets.UTF_8));
        long mixed = checksum.getValue() * MULTIPLIER;
        return (mixed ^ (mixed >>> 32)) * MULTIPLIER;
    }
}
