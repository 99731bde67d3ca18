"""peppershore: configuration distribution for the proxies of a service mesh."""
