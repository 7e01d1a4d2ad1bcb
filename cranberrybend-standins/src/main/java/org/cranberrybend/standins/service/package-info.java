/** Stand-in for a plain service, such as orders of printed stubs. */
package org.cranberrybend.standins.service;
