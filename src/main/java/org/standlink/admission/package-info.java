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
/**
 * Predicts from the work that waits and runs when a submitted job would complete, and decides
 * whether it is accepted.
 *
 * <p>All classes are deterministic, read no clock and do no I/O: times are passed in. Nothing here
 * is persisted; a new leader computes the backlog from the jobs that it has read.
 */
package org.standlink.admission;
