package io.rosemarybeam.store;

import java.util.SortedMap;
import java.util.TreeMap;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WorkspaceName;

/** A call to the provider that only the holder of a duty makes. Immutable and safe for use by several threads. */
sealed interface ProviderCall {
    /**
     * Reports the use of one window of time.
     *
     * @param window number of the window since the start of 1970
     * @param counts requests that began to run in it, by workspace, in the order in which they are sent
     */
    record ReportUsage(long window, SortedMap<WorkspaceName, Long> counts) implements ProviderCall {
        public ReportUsage {
            counts = new TreeMap<>(counts);
        }
    }

    /**
     * Orders the number of replicas of a service in a failure domain.
     *
     * @param service the service
     * @param failureDomain the failure domain
     * @param count the number of replicas of this kind that the failure domain is to have
     * @param preemptible whether the provider may take them away at a notice
     */
    record OrderReplicas(ServiceName service, FailureDomain failureDomain, int count, boolean preemptible)
            implements ProviderCall {}
}
