"""Stand-ins start by the dozen: their command must not load the plots' library."""

import subprocess
import sys


def test_the_labs_command_line_loads_no_plotting_library():
    program = (
        "import sys, peppershore_lab.main; "
        "sys.exit(any(name in sys.modules for name in ('matplotlib', 'numpy')))"
    )
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
