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
package org.standlink.entry;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.json.Addresses;
import org.standlink.port.VmEntry;
import org.standlink.wire.BundleAnswer;
import org.standlink.wire.BundleQuery;
import org.standlink.wire.Connection;
import org.standlink.wire.Message;
import org.standlink.wire.PeerConnection;
import org.standlink.wire.UpstreamLoad;

/**
 * The agents to which an entry is connected.
 *
 * <p>{@code UpstreamDirectory} is thread-safe.
 */
public final class UpstreamDirectory implements AutoCloseable {

    private final ExecutorService executor;

    /** Holds the bundle in force. */
    private final BundleHolder holder;

    private final Map<VmId, Upstream> upstreams = new ConcurrentHashMap<>();

    /** The addresses listed by the platform. */
    private volatile Map<VmId, InetSocketAddress> listed = Map.of();

    /**
     * Creates a directory without agents.
     *
     * @param executor runs connections to agents
     * @param holder holds the bundle in force
     */
    public UpstreamDirectory(ExecutorService executor, BundleHolder holder) {
        this.executor = executor;
        this.holder = holder;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the upstream of a VM, adding it if it is missing.
     *
     * @param vm the VM
     * @return the upstream, whose agent may not be connected
     */
    Upstream getOrAdd(VmId vm) {
        return upstreams.computeIfAbsent(vm, this::createUpstream);
    }

    /**
     * Gets the connection to the agent of a VM, for messages other than requests.
     *
     * @param vm the VM
     * @return the connection, which may not be open
     */
    public PeerConnection getPeer(VmId vm) {
        return getOrAdd(vm).getPeer();
    }

    /**
     * Gets the state of an upstream, as seen from this entry.
     *
     * @param vm the VM
     * @return "leaving", "open" or "closed"
     */
    public String getState(VmId vm) {
        Upstream upstream = getOrAdd(vm);
        if (upstream.isLeaving()) {
            return "leaving";
        }
        return upstream.isOpen() ? "open" : "closed";
    }

    /**
     * Gets the number of requests running or queued at an upstream.
     *
     * @param vm the VM
     * @return the number reported by the agent, or the number in flight from this entry if greater
     */
    public int getOutstanding(VmId vm) {
        return getOrAdd(vm).getOutstanding();
    }

    /**
     * Connects to the agents of all upstreams in the bundle in force, and closes the connections to
     * VMs that are in no cell of the bundle any more.
     */
    public void connectAll() {
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            return;
        }
        Set<VmId> upstreamVms = new HashSet<>();
        bundle.services().forEach(service -> upstreamVms.addAll(service.upstreams()));
        for (VmId vm : upstreamVms) {
            if (getOrAdd(vm).getPeer().getOpenConnection() == null) {
                executor.execute(() -> connect(vm));
            }
        }
        Set<VmId> workerVms = new HashSet<>();
        bundle.cells()
                .forEach(cell -> cell.workers().forEach(worker -> workerVms.add(worker.vm())));
        for (VmId vm : List.copyOf(upstreams.keySet())) {
            if (!workerVms.contains(vm)) {
                upstreams.remove(vm).getPeer().close();
            }
        }
    }

    /**
     * Sets the VMs listed by the platform.
     *
     * @param entries the listed VMs
     */
    public void setListedVms(List<VmEntry> entries) {
        Map<VmId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
        for (VmEntry entry : entries) {
            addresses.put(entry.vm(), Addresses.parse(entry.address()));
            Upstream upstream = upstreams.get(entry.vm());
            if (upstream != null) {
                upstream.setListedLeaving(entry.leaving());
            }
        }
        listed = addresses;
    }

    @Override
    public void close() {
        upstreams.values().forEach(upstream -> upstream.getPeer().close());
    }

    // -----------------------------------------------------------------------
    private void connect(VmId vm) {
        try {
            getOrAdd(vm).getPeer().connect();
        } catch (StandlinkException exception) {
            if (exception.getCode() != ErrorCode.PEER_UNREACHABLE) {
                throw exception;
            }
        }
    }

    private Upstream createUpstream(VmId vm) {
        Upstream[] self = new Upstream[1];
        PeerConnection peer =
                new PeerConnection(
                        () -> findAddress(vm),
                        executor,
                        (connection, call, message) -> handle(self[0], connection, call, message));
        self[0] = new Upstream(vm, peer);
        return self[0];
    }

    private InetSocketAddress findAddress(VmId vm) {
        InetSocketAddress listedAddress = listed.get(vm);
        if (listedAddress != null) {
            return listedAddress;
        }
        return holder.getBundle()
                .findWorker(vm)
                .map(worker -> Addresses.parse(worker.address()))
                .orElse(null);
    }

    private void handle(Upstream upstream, Connection connection, long call, Message message) {
        if (message instanceof UpstreamLoad load) {
            upstream.setLoad(load);
        } else if (message instanceof BundleQuery query) {
            boolean newer = holder.getVersion().isAfter(query.held());
            String text = newer ? holder.getSignedText() : null;
            connection.answer(call, new BundleAnswer(holder.getVersion(), text));
        }
    }
}
