/** The controller program: settings, assembly of its services, and main class. */
package org.cranberrybend.controller;
