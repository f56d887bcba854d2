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
package org.standlink.runner;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.standlink.Fence;
import org.standlink.job.WorkerDescription;
import org.standlink.lease.MonotonicClock;

/**
 * What all that calls one worker needs.
 *
 * <p>{@code WorkerContext} is immutable; what it holds belongs to the agent's loop.
 *
 * @param worker tells what the worker said of itself
 * @param calls the calls of workers
 * @param clock the clock
 * @param loop the agent's loop
 * @param fence tells the fence of the orders in force
 */
record WorkerContext(
        Supplier<WorkerDescription> worker,
        WorkerCalls calls,
        MonotonicClock clock,
        ScheduledExecutorService loop,
        Supplier<Fence> fence) {}
