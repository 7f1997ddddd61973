"""Jobs of tasks on pools of workers that keep no register of their own."""
