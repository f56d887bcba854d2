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
package org.standlink.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A message between two standlink processes.
 *
 * <p>Implementations are immutable records. The meaning of the number that identifies a type on the
 * wire never changes.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.PROPERTY, property = "@")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Hello.class, name = "1"),
    @JsonSubTypes.Type(value = UpstreamLoad.class, name = "2"),
    @JsonSubTypes.Type(value = ForwardRequest.class, name = "3"),
    @JsonSubTypes.Type(value = ForwardAnswer.class, name = "4"),
    @JsonSubTypes.Type(value = OutcomeQuery.class, name = "5"),
    @JsonSubTypes.Type(value = Heartbeat.class, name = "6"),
    @JsonSubTypes.Type(value = HeartbeatAnswer.class, name = "7"),
    @JsonSubTypes.Type(value = LeaderAnnouncement.class, name = "8"),
    @JsonSubTypes.Type(value = StatusQuery.class, name = "9"),
    @JsonSubTypes.Type(value = StatusAnswer.class, name = "10"),
    @JsonSubTypes.Type(value = BundleQuery.class, name = "11"),
    @JsonSubTypes.Type(value = BundleAnswer.class, name = "12"),
    @JsonSubTypes.Type(value = Refusal.class, name = "13"),
    @JsonSubTypes.Type(value = AgentReport.class, name = "14"),
    @JsonSubTypes.Type(value = AgentGrant.class, name = "15"),
    @JsonSubTypes.Type(value = RunOrders.class, name = "16"),
    @JsonSubTypes.Type(value = LeaderNotice.class, name = "17"),
    @JsonSubTypes.Type(value = SubmitJob.class, name = "18"),
    @JsonSubTypes.Type(value = CancelJob.class, name = "19"),
    @JsonSubTypes.Type(value = JobQuery.class, name = "20"),
    @JsonSubTypes.Type(value = QueueQuery.class, name = "21"),
    @JsonSubTypes.Type(value = JobAnswer.class, name = "22"),
    @JsonSubTypes.Type(value = KeepAlive.class, name = "23"),
    @JsonSubTypes.Type(value = Leaving.class, name = "24")
})
public sealed interface Message
        permits Hello,
                UpstreamLoad,
                ForwardRequest,
                ForwardAnswer,
                OutcomeQuery,
                Heartbeat,
                HeartbeatAnswer,
                LeaderAnnouncement,
                StatusQuery,
                StatusAnswer,
                BundleQuery,
                BundleAnswer,
                Refusal,
                AgentReport,
                AgentGrant,
                RunOrders,
                LeaderNotice,
                SubmitJob,
                CancelJob,
                JobQuery,
                QueueQuery,
                JobAnswer,
                KeepAlive,
                Leaving {}
