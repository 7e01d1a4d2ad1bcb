package org.cranberrybend.runtime.lifecycle;

import java.util.ArrayList;
import java.util.List;

/** Starts services in order and stops them in reverse order. If one fails to start, those before it are stopped. */
public final class ServiceGroup implements Service {
    private final List<Service> services;
    private final List<Service> started = new ArrayList<>();

    /** Creates a group of services, listed in start order. */
    public ServiceGroup(List<Service> services) {
        this.services = List.copyOf(services);
    }

    @Override
    public synchronized void start() throws ServiceException {
        for (Service service : services) {
            try {
                service.start();
            } catch (ServiceException e) {
                stop();
                throw e;
            }
            started.add(service);
        }
    }

    @Override
    public synchronized void stop() {
        for (int i = started.size() - 1; i >= 0; i--) {
            started.get(i).stop();
        }
        started.clear();
    }
}
